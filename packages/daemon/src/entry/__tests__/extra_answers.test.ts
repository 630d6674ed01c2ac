import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { REQUEST_HEADER } from "../../callers/index.ts";
import {
  listenRaw,
  type RawEndpoint,
} from "../../gateway/__tests__/wire_fixture.ts";
import {
  type CallerAnswer,
  type EndpointScript,
  EntryFixture,
} from "./entry_fixture.ts";
import {
  type CopyTime,
  type ExtraAnswerOptions,
  ExtraAnswerSender,
  type Result,
  type ServedRequest,
} from "./extra_answer_sender.ts";

const ENDPOINT_HEADER = "x-request-id";
const COPY_TIMES: readonly CopyTime[] = [
  "at once",
  "later",
  "with the next request",
];
const ROUNDS = 6;
const SEQUENCE = 20;
/** Time after which all answers and copies of a case have arrived, so that cases do not affect each other. */
const SETTLE_MS = 40;
/** Covers the head of each answer below. */
const MAX_HEAD_BYTES = 140;

type Send = (script: EndpointScript, name: string) => Promise<CallerAnswer>;

/** What callers may be told wrongly: another request's answer, or that a request that ran did not run. */
function violationOf(
  { own, runs }: ServedRequest,
  { status, text, header }: CallerAnswer,
): string | undefined {
  if (status === 200 && text !== own) {
    return `${own} got ${text}`;
  }
  const verdict = header("sassafrasstep-verdict");
  return verdict === "not_run" && runs > 0
    ? `${own} was told ${status} ${verdict} and ran`
    : undefined;
}

let requestCount = 0;

/** Sends a request that has the result at the server; returns it with its answer. */
async function sendOne(
  sender: ExtraAnswerSender,
  { send, result }: { send: Send; result: Result },
): Promise<{ served: ServedRequest; answer: CallerAnswer }> {
  requestCount++;
  const served = sender.request(`{"own":"${result}-${requestCount}"}`, result);
  const answer = await send(served.script, `request${requestCount}`);
  return { served, answer };
}

/** Alternates requests of the first result with requests that run, and returns what callers were told wrongly. */
async function playRounds(
  options: ExtraAnswerOptions,
  { send, first, rounds = ROUNDS }: {
    send: Send;
    first: Result;
    rounds?: number;
  },
): Promise<string[]> {
  const sender = new ExtraAnswerSender(options);
  const violations: string[] = [];
  for (let round = 0; round < rounds; round++) {
    for (const result of [first, "ran"] as const) {
      const { served, answer } = await sendOne(sender, { send, result });
      const violation = violationOf(served, answer);
      if (violation !== undefined) {
        violations.push(violation);
      }
    }
  }
  await new Promise((resolve) => setTimeout(resolve, SETTLE_MS));
  return violations;
}

/** The copies that a server sends, by name. */
const COPIES: readonly { name: string; first: Result; refusal: number }[] = [
  { name: "a refusal with 503", first: "refused", refusal: 503 },
  { name: "a refusal with 429", first: "refused", refusal: 429 },
  { name: "a success", first: "ran", refusal: 503 },
];

// Guards against an extra answer on a kept connection that is taken for the answer to the next request.
describe("an endpoint that sends an answer too many", () => {
  const fixture = new EntryFixture();
  let ownerToken = "";
  const sends: Readonly<Record<string, Send>> = {
    "a chat": (script) => fixture.chat(script, { stream: false }),
    "a streamed chat": (script) => fixture.chat(script),
    "a repeatable call": (script) => fixture.plain("notes", script),
    "a call that must not be repeated": (script, name) =>
      fixture.plain("badges", script, {
        "idempotency-key": `${ownerToken}${name}`,
      }),
    "a chat that a peer forwards": (script, name) =>
      fixture.chat(script, {
        headers: fixture.peerHeaders(`n9-0000-${name}.1`, 0),
      }),
    "a repeatable call that a peer forwards": (script, name) =>
      fixture.plain(
        "notes",
        script,
        fixture.peerHeaders(`n9-0000-${name}.1`, 0),
      ),
  };

  beforeAll(async () => {
    await fixture.start({ pool: 1, notes: 1, badges: 1 });
    ownerToken = await fixture.newKey("extra");
  });
  afterAll(async () => {
    await fixture.stop();
  });

  for (const [name, send] of Object.entries(sends)) {
    describe(`to ${name}`, () => {
      for (const nameHeader of [ENDPOINT_HEADER, undefined]) {
        const naming = nameHeader === undefined ? "without ids" : "with ids";
        for (const copies of COPY_TIMES) {
          it.each(COPIES)(
            `gives no request a wrong answer, ${naming}, ${copies}: $name`,
            async ({ first, refusal }) => {
              expect(
                await playRounds({ copies, nameHeader, refusal }, {
                  send,
                  first,
                }),
              ).toEqual([]);
            },
          );
        }
      }
    });
  }

  // Guards against the head of a cut extra answer that is merged with the next head, whose id then vouches for it.
  describe("that stops inside its head", () => {
    it.each(["a chat", "a repeatable call"])(
      "gives no request of %s a wrong answer",
      async (kind) => {
        const violations: string[] = [];
        for (let cutTo = 1; cutTo < MAX_HEAD_BYTES; cutTo++) {
          const options: ExtraAnswerOptions = {
            copies: "with the next request",
            nameHeader: ENDPOINT_HEADER,
            refusal: 503,
            cutTo,
          };
          violations.push(
            ...await playRounds(options, {
              send: sends[kind]!,
              first: "refused",
              rounds: 1,
            }),
          );
        }
        expect(violations).toEqual([]);
      },
    );
  });
});

// Guards against an extra answer of a peer that is taken for the answer to the next request forwarded to it.
describe("a peer that sends an answer too many", () => {
  const fixture = new EntryFixture();
  const scripts = new Map<string, EndpointScript>();
  let peer: RawEndpoint;
  let peerKeyToken = "";
  const sends: Readonly<Record<string, Send>> = {
    "a chat": (script) =>
      fixture.chat(script, {
        stream: false,
        onName: (name) => scripts.set(name, script),
      }),
    "a repeatable call": (script) => {
      const name = fixture.script(script);
      scripts.set(name, script);
      return fixture.plainWithBody("notes", name, {});
    },
    "a call that must not be repeated": (script, name) => {
      const body = fixture.script(script);
      scripts.set(body, script);
      return fixture.plainWithBody("badges", body, {
        "idempotency-key": `${peerKeyToken}.${name}xxxx`,
      });
    },
  };

  beforeAll(async () => {
    peer = await listenRaw((socket, text) => {
      const script = scripts.get(/case-\d+-/.exec(text)?.[0] ?? "");
      const id = new RegExp(`^${REQUEST_HEADER}: (.*)$`, "im").exec(text)?.[1];
      void script?.(socket, { id: id!.trim(), number: 1, startAt: 0 });
    });
    await fixture.start({ pool: 1, notes: 1, badges: 1 }, {
      remoteUrl: `http://${peer.address}`,
    });
    peerKeyToken = await fixture.ownerTokenOf("n2");
    // The first entry learns the other region's capacity from heartbeats.
    const sender = new ExtraAnswerSender({
      copies: undefined,
      nameHeader: undefined,
      refusal: 503,
      isPeer: true,
    });
    for (const send of Object.values(sends)) {
      let status = 0;
      while (status !== 200) {
        const { answer } = await sendOne(sender, { send, result: "ran" });
        status = answer.status;
      }
    }
  });
  afterAll(async () => {
    await fixture.stop();
    await peer.close();
  });

  for (const [name, send] of Object.entries(sends)) {
    describe(`to ${name}`, () => {
      for (const nameHeader of [REQUEST_HEADER, undefined]) {
        const naming = nameHeader === undefined ? "without ids" : "with ids";
        for (const copies of COPY_TIMES) {
          it.each(COPIES)(
            `gives no request a wrong answer, ${naming}, ${copies}: $name`,
            async ({ first, refusal }) => {
              const options = { copies, nameHeader, refusal, isPeer: true };
              expect(await playRounds(options, { send, first })).toEqual([]);
            },
          );
        }
      }
    });
  }
});

describe("an endpoint without a fault", () => {
  const fixture = new EntryFixture();
  const send: Send = (script) => fixture.plain("notes", script);

  beforeAll(async () => {
    await fixture.start({ notes: 1 });
  });
  afterAll(async () => {
    await fixture.stop();
  });

  // Guards against sound requests that each pay for a connection of their own.
  it("serves all requests on one connection if its answers have ids", async () => {
    const sender = new ExtraAnswerSender({
      copies: undefined,
      nameHeader: ENDPOINT_HEADER,
      refusal: 503,
    });
    for (let count = 0; count < SEQUENCE; count++) {
      const { served, answer } = await sendOne(sender, { send, result: "ran" });
      expect(answer).toMatchObject({ status: 200, text: served.own });
    }
    expect(sender.sockets.size).toBeLessThanOrEqual(2);
  });

  // Guards against endpoints that name no request and are served no longer.
  it.each([undefined, "x-other-id"])(
    "serves all requests and refuses with a promise, with ids in %s",
    async (nameHeader) => {
      const sender = new ExtraAnswerSender({
        copies: undefined,
        nameHeader,
        refusal: 503,
      });
      for (let count = 0; count < SEQUENCE; count++) {
        const { served, answer } = await sendOne(sender, {
          send,
          result: "ran",
        });
        expect(answer).toMatchObject({ status: 200, text: served.own });
        expect(served.attempts).toBe(1);
      }
      const { answer } = await sendOne(sender, { send, result: "refused" });
      expect(answer.status).toBe(503);
      expect(answer.header("sassafrasstep-verdict")).toBe("not_run");
    },
  );
});
