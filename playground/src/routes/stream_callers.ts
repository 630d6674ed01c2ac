/**
 * Callers of streams that take a broken stream up at another entry.
 *
 * @module
 */
import type { CallId, Prompt, ResumedCall } from "@sassafrasstep/core";
import type {
  CallPlan,
  ObservedCall,
  StreamResumption,
} from "./route_types.ts";
import type { RouteWorld } from "./route_world.ts";

/** A caller's stream, and how the caller takes it up if it breaks off. */
export interface StreamPlan {
  readonly name: string;
  readonly route: string;
  readonly entry: string;
  /** Entries at which the stream is taken up, each in turn. */
  readonly entriesAfterwards: readonly string[];
  readonly events: number;
  readonly promptTokens: number;
  /** Time from the first request to the end of the last. */
  readonly timeoutMs: number;
  /** How often the stream is taken up at most. */
  readonly retries: number;
  /** Time from the break to the next request. */
  readonly pauseMs: number;
  /** What the next request names: `root`, the call that began the stream, `nothing`, `malformed`, or this text. */
  readonly naming: string;
}

/** A stream in progress. */
interface StreamProgress {
  readonly plan: StreamPlan;
  /** Position of the caller among those of one step. */
  readonly index: number;
  readonly deadline: number;
  readonly retry: number;
}

/** Requests a stream. */
export function requestStream(
  world: RouteWorld,
  plan: StreamPlan,
  index: number,
): void {
  const deadline = world.time.now + plan.timeoutMs;
  const progress = { plan, index, deadline, retry: 0 };
  send(world, progress, { name: plan.name, entry: plan.entry });
}

/** A prompt with the given parts. */
export function promptOf(parts: Prompt["parts"]): Prompt {
  return {
    model: "m",
    promptTokens: parts.reduce((sum, { tokens }) => sum + tokens, 0),
    outputTokens: 50,
    outputHint: undefined,
    parts,
  };
}

function send(
  world: RouteWorld,
  progress: StreamProgress,
  request: Pick<CallPlan, "name" | "entry" | "resumption">,
): void {
  const { plan, deadline } = progress;
  world.call({
    ...request,
    route: plan.route,
    timeLeftMs: deadline - world.time.now,
    prompt: promptOf([{ id: plan.name, tokens: plan.promptTokens }]),
    events: plan.events,
    body: plan.name,
    caller: plan.name,
    key: undefined,
    onEnd: (call) => takeUp(world, progress, call),
  });
}

/** Takes a stream up after a break, as long as the caller has time and retries left. */
function takeUp(
  world: RouteWorld,
  progress: StreamProgress,
  call: ObservedCall,
): void {
  const { plan, index, retry, deadline } = progress;
  const after = call.events.at(-1) ?? call.resumption?.after;
  const isOver = call.ended === "complete" || after === undefined ||
    retry >= plan.retries || world.time.now + plan.pauseMs >= deadline;
  if (isOver) {
    return;
  }
  const resumption: StreamResumption = {
    root: plan.name,
    after,
    stated: statedCall(plan),
  };
  world.time.after(plan.pauseMs, () => {
    const name = `${plan.name}~${retry + 1}`;
    const entry = nextEntry(world, plan.entriesAfterwards, index + retry);
    send(world, { ...progress, retry: retry + 1 }, { name, entry, resumption });
  });
}

/** The first entry from a position on that runs: callers go on after a refused connection. */
function nextEntry(
  { entries }: RouteWorld,
  names: readonly string[],
  position: number,
): string {
  const start = position % names.length;
  const inTurn = [...names.slice(start), ...names.slice(0, start)];
  return inTurn.find((name) => entries.get(name)!.alive) ?? inTurn[0]!;
}

function statedCall({ name, naming }: StreamPlan): ResumedCall | undefined {
  switch (naming) {
    case "nothing":
      return undefined;
    case "malformed":
      return { kind: "malformed" };
    case "root":
      return { kind: "named", call: name as CallId };
    default:
      return { kind: "named", call: naming as CallId };
  }
}
