import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { type CallerAnswer, EntryFixture } from "./entry_fixture.ts";

/** Longer than the deadline of the request. */
const ANSWER_TIMEOUT_MS = 8_000;
const BODY = "hello";

// Guards against a caller that gets no answer at all because of the status that the endpoint sent.
describe("an endpoint's answer with the status", () => {
  const fixture = new EntryFixture();

  beforeAll(() => fixture.start({ badges: 1 }));
  afterAll(() => fixture.stop());

  it.each([
    [204, { status: 204, text: "" }],
    [205, { status: 205, text: "" }],
    [304, { status: 304, text: "" }],
    [404, { status: 404, text: BODY }],
    [599, { status: 502 }],
    [600, { status: 502 }],
    [999, { status: 502 }],
  ])("%d is answered", async (status, expected) => {
    const hasBody = status >= 400;
    const fields = `content-length: ${hasBody ? BODY.length : 0}`;
    const key = await fixture.newKey(`status${status}`);
    const answer = await Promise.race<CallerAnswer | undefined>([
      fixture.plain("badges", (socket) =>
        socket.end(
          `HTTP/1.1 ${status} x\r\n${fields}\r\n\r\n${hasBody ? BODY : ""}`,
        ), { "idempotency-key": key }),
      new Promise((resolve) =>
        setTimeout(() => resolve(undefined), ANSWER_TIMEOUT_MS)
      ),
    ]);
    expect(answer).toMatchObject(expected);
  });
});
