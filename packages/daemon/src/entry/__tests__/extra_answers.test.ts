import { afterAll, beforeAll, describe, expect, it, vi } from "vitest";
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

// So that each case meets kept connections, although cases before have shown the origin to be faulty.
vi.mock("../../clients/connection_reuse.ts", () => ({
  ConnectionReuse: class {
    recordUnproved(): void {}
    isAllowed(): boolean {
      return true;
    }
  },
}));

const ENDPOINT_HEADER = "x-request-id";
const COPY_TIMES: readonly CopyTime[] = [
  "at once",
  "later",
  "with the next request",
];
const NOT_REPEATABLE = "a call that must not be repeated";
const ROUNDS = 6;
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
): Promise<{ violations: string[]; metCopies: number }> {
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
  return { violations, metCopies: sender.metCopies };
}

/** Plays rounds and checks that connections were kept where answers name their attempt and may be repeated. */
async function expectNoViolation(
  options: ExtraAnswerOptions,
  { send, first, isKept }: { send: Send; first: Result; isKept: boolean },
): Promise<void> {
  const { violations, metCopies } = await playRounds(options, { send, first });
  await settle();
  expect(violations).toEqual([]);
  const isCopyMet = isKept && options.nameHeader !== undefined &&
    options.copies !== "at once";
  expect(metCopies > 0).toBe(isCopyMet);
}

async function settle(): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, SETTLE_MS));
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
    [NOT_REPEATABLE]: (script, name) =>
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
              await expectNoViolation({ copies, nameHeader, refusal }, {
                send,
                first,
                isKept: name !== NOT_REPEATABLE,
              });
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
        let metCopies = 0;
        for (let cutTo = 1; cutTo < MAX_HEAD_BYTES; cutTo++) {
          const options: ExtraAnswerOptions = {
            copies: "with the next request",
            nameHeader: ENDPOINT_HEADER,
            refusal: 503,
            cutTo,
          };
          const played = await playRounds(options, {
            send: sends[kind]!,
            first: "refused",
            rounds: 1,
          });
          violations.push(
            ...played.violations.map((text) => `${cutTo}: ${text}`),
          );
          metCopies += played.metCopies;
        }
        await settle();
        expect(metCopies).toBeGreaterThanOrEqual(MAX_HEAD_BYTES - 1);
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
    [NOT_REPEATABLE]: (script, name) => {
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
              await expectNoViolation(options, {
                send,
                first,
                isKept: name !== NOT_REPEATABLE,
              });
            },
          );
        }
      }
    });
  }
});
