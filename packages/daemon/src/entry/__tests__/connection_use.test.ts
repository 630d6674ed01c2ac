import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { REQUEST_HEADER } from "../../callers/index.ts";
import { type CallerAnswer, EntryFixture } from "./entry_fixture.ts";
import {
  type ExtraAnswerOptions,
  ExtraAnswerSender,
  type Result,
} from "./extra_answer_sender.ts";

const SOUND: ExtraAnswerOptions = {
  copies: undefined,
  nameHeader: "x-request-id",
  refusal: 503,
};
const FAULTY: ExtraAnswerOptions = {
  ...SOUND,
  copies: "with the next request",
};
const REQUESTS = 20;
/** Sequential requests alternate between two connections at most, since one is free only a turn after its answer. */
const KEPT_CONNECTIONS = 2;

describe("connections to an endpoint", () => {
  let fixture: EntryFixture;
  let sender: ExtraAnswerSender;

  beforeEach(async () => {
    fixture = new EntryFixture();
    await fixture.start({ notes: 1 });
  });
  afterEach(async () => {
    await fixture.stop();
  });

  /** Sends requests one after the other; returns how many got their own answer at the first attempt. */
  async function countServed(options: ExtraAnswerOptions): Promise<number> {
    sender = new ExtraAnswerSender(options);
    let served = 0;
    for (let number = 0; number < REQUESTS; number++) {
      const own = `own ${number}`;
      const { answer, attempts } = await send(own, "ran");
      served += answer.text === own && attempts === 1 ? 1 : 0;
    }
    return served;
  }

  async function send(
    own: string,
    result: Result,
  ): Promise<{ answer: CallerAnswer; attempts: number }> {
    const request = sender.request(own, result);
    const answer = await fixture.plain("notes", request.script);
    return { answer, attempts: request.attempts };
  }

  async function expectPromise(): Promise<void> {
    const { answer } = await send("none", "refused");
    expect(answer.status).toBe(503);
    expect(answer.header("sassafrasstep-verdict")).toBe("not_run");
  }

  // Guards against sound requests that each pay for a connection of their own.
  it("carry many requests if answers name their attempt", async () => {
    expect(await countServed(SOUND)).toBe(REQUESTS);
    await expectPromise();
    expect(sender.sockets.size).toBeLessThanOrEqual(KEPT_CONNECTIONS);
  });

  // Guards against endpoints that name no attempt, or number answers in their own way, and are served no longer.
  it.each([undefined, "server"])(
    "carry one request each if answers name something else: %s",
    async (nameHeader) => {
      expect(await countServed({ ...SOUND, nameHeader })).toBe(REQUESTS);
      expect(sender.sockets.size).toBe(REQUESTS);
      await expectPromise();
    },
  );

  // Guards against an endpoint with extra answers that spoils every second request of its callers.
  it("carry one request each after an extra answer", async () => {
    const served = await countServed(FAULTY);
    expect(served).toBeGreaterThanOrEqual(REQUESTS - KEPT_CONNECTIONS);
    expect(sender.metCopies).toBeGreaterThan(0);
    await expectPromise();
  });

  // Guards against entries that don't name forwarded requests, so that peers open a connection for each.
  it.each<Result>(["ran", "refused"])(
    "carry many requests between entries: answers to peers name them, %s",
    async (result) => {
      sender = new ExtraAnswerSender(SOUND);
      const id = `n9-0000-${result}.1`;
      const { script } = sender.request("own", result);
      const headers = fixture.peerHeaders(id, 0);
      const answer = await fixture.plain("notes", script, headers);
      expect(answer.status).toBe(result === "ran" ? 200 : 503);
      expect(answer.header(REQUEST_HEADER)).toBe(id);
    },
  );
});
