import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { callPlatform, PlatformFleet, StandInEndpoint } from "../index.ts";

const STREAM_TOKENS = "100,20";
const EVENTS = 5;
/** More than callers accept of a head, as the document says; less than entries accept of an endpoint's. */
const LONG_PHRASE = "a".repeat(20_000);
/** The bytes of a character that no header can hold, each as one character. */
const FOREIGN_PHRASE = Buffer.from("\u2713").toString("latin1");

// Guards against an answer that is lost because of its endpoint's reason phrase.
describe.each([
  ["that is longer than a caller's limit", LONG_PHRASE],
  ["outside of Latin-1", FOREIGN_PHRASE],
  ["that is empty", ""],
])("an endpoint's reason phrase %s", (_name, phrase) => {
  const fleet = new PlatformFleet();

  beforeAll(async () => {
    await fleet.prepare();
    await fleet.start(1);
    for (const endpoint of fleet.endpoints) {
      endpoint.reasonPhrase = phrase;
    }
  });
  afterAll(() => fleet.close());

  it.each([
    ["once", undefined],
    ["again", undefined],
    ["stream", STREAM_TOKENS],
    ["resume", STREAM_TOKENS],
  ])("does not keep the answer from the caller of the route %s", async (
    name,
    tokens,
  ) => {
    const { callers } = fleet.entries[0]!;
    const call = `call-${name}`;
    const answer = await callPlatform(callers, {
      path: `/${name}/x`,
      call,
      ...(tokens === undefined ? {} : { tokens }),
    });
    expect(answer.status).toBe(200);
    expect(answer.body).toBe(
      tokens === undefined
        ? StandInEndpoint.responseBody(call)
        : StandInEndpoint.streamBody(EVENTS),
    );
  });
});
