/**
 * Sends drawn bytes, and checks what became of them.
 *
 * @module
 */
import { connect } from "node:net";
import { setTimeout as pause } from "node:timers/promises";
import { HEADERS } from "@sassafrasstep/platform";
import { type ObservedAnswer, PROMISE_STATUSES } from "./action_caller.ts";
import type { OddInput } from "./odd_inputs.ts";
import type { RunLedger } from "./run_ledger.ts";
import type { Violation } from "../promises.ts";

const PART_INTERVAL_MS = 30;
const WAIT_MS = 2_500;
const OK = 200;
/** A caller that was kept from its work for longer has not seen in time what it was answered. */
const MAX_DELAY_MS = 200;
/** All but one of this many sound requests, and questions to directories, are answered. */
const REQUESTS_PER_UNSERVED = 10;

/** What was answered to drawn bytes; the status is 0 if nothing was. */
export interface OddAnswer {
  readonly input: OddInput;
  readonly status: number;
}

/** Sends an input to an address. */
export async function sendOddInput(
  input: OddInput,
  address: string,
): Promise<OddAnswer> {
  await pause(input.atMs);
  const [host, port] = address.split(":");
  const socket = connect({ host: host!, port: Number(port) });
  let text = "";
  socket.on("data", (bytes) => text += bytes.toString("latin1"));
  socket.on("error", () => {});
  for (const part of input.parts) {
    socket.write(part, "latin1");
    await pause(PART_INTERVAL_MS);
  }
  if (input.end === "closes") {
    socket.end();
  }
  await pause(input.end === "resets" ? PART_INTERVAL_MS : WAIT_MS);
  socket.resetAndDestroy();
  return { input, status: Number(/^HTTP\/1\.1 (\d{3})/.exec(text)?.[1] ?? 0) };
}

/** Finds runs that nobody asked for, and promises that do not hold, beside drawn bytes. */
export function findOddViolations(
  odd: readonly OddAnswer[],
  { answers, ledger }: {
    answers: readonly ObservedAnswer[];
    ledger: RunLedger;
  },
): Violation[] {
  const sound = new Set(answers.map(({ call }) => call));
  const bytes = odd.map(({ input }) => input.parts.join("")).join("\n");
  const unasked = ledger.runs.filter(({ call }) =>
    !sound.has(call) && !bytes.includes(call)
  );
  const unkept = odd.filter(({ status, input: { call, parts } }) =>
    PROMISE_STATUSES.has(status) &&
    parts.join("").includes(`${HEADERS.callId}: ${call}\r\n`) &&
    ledger.of(call).length > 0
  );
  const repeated = odd.filter(({ input: { call, parts } }) =>
    isSingleAction(parts.join(""), call) && ledger.of(call).length > 1
  );
  return [
    ...repeated.map(({ input: { call } }) => ({
      call,
      what: `ran ${ledger.of(call).length} times for odd bytes`,
    })),
    ...unasked.map(({ call }) => ({ call, what: "ran and was not asked for" })),
    ...unkept.map(({ status, input: { call } }) => ({
      call,
      what: `odd bytes were answered ${status} and ran`,
    })),
  ];
}

/** Whether bytes hold one request on a route for actions, which names the call in its target and in one header. */
function isSingleAction(text: string, call: string): boolean {
  return /^\w+ \/(once|homeOnce)\//.test(text) &&
    text.split(call).length <= 3;
}

/** Reports sound requests that were not served beside drawn bytes, and directories that did not answer. */
export function findUnservedBeside(
  answers: readonly ObservedAnswer[],
  { asked, answered, delayWithin }: {
    /** Questions to directories, and how many of them were answered. */
    readonly asked: number;
    readonly answered: number;
    /** How long the callers' own process was kept from its work in a span of time. */
    readonly delayWithin: (from: number, to: number) => number;
  },
): Violation[] {
  const counted = answers.filter(({ plan, call, askedAt, endedAt }) =>
    plan.leavesAfterMs === undefined && call === plan.id &&
    delayWithin(askedAt, endedAt) < MAX_DELAY_MS
  );
  const served =
    counted.filter(({ status, end }) => status === OK && end === "whole")
      .length;
  return [
    ["requests", served, counted.length] as const,
    ["questions to directories", answered, asked] as const,
  ].flatMap(([what, good, all]) =>
    (all - good) * REQUESTS_PER_UNSERVED > all
      ? [{ call: "all", what: `served ${good} of ${all} ${what}` }]
      : []
  );
}
