/**
 * What endpoints do with requests, sound and faulty, drawn for each request by its id.
 *
 * @module
 */
import type { Draw } from "../draw.ts";

/** Bytes after a complete answer that belong to no request. */
export type ExtraAnswer =
  /** The same answer once more. */
  | "copy"
  /** A refusal that names no request. */
  | "bareRefusal"
  /** A refusal that names the request that was answered. */
  | "namedRefusal"
  /** A bare 421. */
  | "misdirected"
  /** A success for a request of another connection. */
  | "foreign"
  /** The beginning of a refusal; the head of the next answer may run on from it. */
  | "tornRefusal";

/** When extra bytes are sent after an answer or a refusal. */
export type ExtraTime =
  /** With the end of what was sent before. */
  | "withEnd"
  /** Some time later. */
  | "later"
  /** When the next request has arrived on the connection, before its answer. */
  | "beforeNext"
  /** When the same request has arrived on the connection once more, before its answer. */
  | "beforeSame";

/** What an endpoint does with one request. */
export type Behaviour =
  | { readonly kind: "answers" }
  | {
    readonly kind: "refuses";
    readonly status: number;
    readonly retryAfterS: number | undefined;
    /** When the refusal is sent once more, if it is. */
    readonly copy: ExtraTime | undefined;
  }
  /** Runs the request and answers with a status of its own. */
  | {
    readonly kind: "fails";
    readonly status: number;
    readonly sealed: boolean;
  }
  /** Runs the request and breaks the answer off after a fraction of its bytes. */
  | {
    readonly kind: "breaks";
    readonly how: "reset" | "closed" | "silent";
    readonly part: number;
  }
  | {
    readonly kind: "extra";
    readonly extra: ExtraAnswer;
    readonly time: Exclude<ExtraTime, "beforeSame">;
    /** Fraction of the bytes after which torn ones end. */
    readonly part: number;
  };

/** Refuses a request without running it. */
export type RefusingBehaviour = Extract<Behaviour, { kind: "refuses" }>;

/** Sends bytes that belong to no request, after a whole answer. */
export type ExtraBehaviour = Extract<Behaviour, { kind: "extra" }>;

/** A behaviour with its pace. */
export interface RunPlan {
  readonly behaviour: Behaviour;
  /** Time from the start to the first byte of the answer. */
  readonly workMs: number;
  /** Whether the run goes on when its connection closes. */
  readonly stubborn: boolean;
  /** How the endpoint closes the connection after a whole answer, if it does. */
  readonly closes: "announced" | "idle" | undefined;
  /** Events of a stream, and the time between two of them. */
  readonly events: number;
  readonly eventMs: number;
}

/** Which faults the endpoints of a wave have. */
export type EndpointFaults = "mixed" | "refusals";

/** Part of the requests for which an endpoint does anything else than to answer. */
const FAULTY_FRACTIONS: Readonly<Record<EndpointFaults, number>> = {
  mixed: 0.32,
  // There is no second endpoint in the region, and one that refuses more is left out for a while.
  refusals: 0.15,
};

/** Draws what an endpoint does with a request. */
export function drawRunPlan(draw: Draw, faults: EndpointFaults): RunPlan {
  const faulty = draw.chance(FAULTY_FRACTIONS[faults]);
  const drawKind = faults === "mixed" ? drawFault : drawRefusal;
  return {
    behaviour: faulty ? drawKind(draw) : { kind: "answers" },
    workMs: draw.chance(0.12) ? draw.integer(300, 1_800) : draw.integer(3, 60),
    stubborn: draw.chance(0.15),
    closes: draw.chance(faults === "mixed" ? 0.12 : 0)
      ? draw.pick(["announced", "idle"])
      : undefined,
    events: draw.integer(2, 30),
    eventMs: draw.pick([5, 15, 40, 80]),
  };
}

function drawFault(draw: Draw): Behaviour {
  const roll = draw.fraction();
  if (roll < 0.3) {
    return {
      ...drawRefusal(draw),
      retryAfterS: draw.pick([undefined, undefined, 0.2, 1]),
    };
  }
  if (roll < 0.45) {
    return {
      kind: "fails",
      status: draw.pick([500, 503, 429, 408, 504]),
      sealed: draw.chance(0.7),
    };
  }
  if (roll < 0.7) {
    return {
      kind: "breaks",
      how: draw.pick(["reset", "closed", "silent"]),
      part: draw.pick([0, 0, 0.3, draw.fraction()]),
    };
  }
  return {
    kind: "extra",
    extra: draw.pick([
      "copy",
      "bareRefusal",
      "namedRefusal",
      "misdirected",
      "foreign",
      "tornRefusal",
      "tornRefusal",
    ]),
    time: draw.pick(["withEnd", "later", "beforeNext", "beforeNext"]),
    part: draw.fraction(),
  };
}

function drawRefusal(draw: Draw): RefusingBehaviour {
  return {
    kind: "refuses",
    status: draw.pick([503, 503, 429]),
    retryAfterS: undefined,
    copy: draw.pick([
      undefined,
      "withEnd",
      "later",
      "beforeNext",
      "beforeSame",
      "beforeSame",
    ]),
  };
}
