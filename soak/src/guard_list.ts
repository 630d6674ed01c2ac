/**
 * Guards that protect the integrity of streams. The soak test must fail when one of them is removed.
 *
 * @module
 */
import type { Guard } from "@sassafrasstep/playground/guards";

const CORE_GATEWAY = "packages/core/src/gateway";
const DAEMON_GATEWAY = "packages/daemon/src/gateway";
const POINT = "streams byte by byte";
const ACTION_POINT = "actions run once, and refusals are true";

/** A guard and the kinds of waves, separated by commas, that are played without it. */
export interface SoakGuard extends Guard {
  readonly kinds: string;
}

const FAULT_KINDS = "stops,ends";
const PAUSE_KINDS = "stalls,pauses";
const SLOW_KINDS = "slow";
/** Stands for the waves of actions, which are played by a program of their own. */
export const ACTION_WAVES = "actions";

/** All guards that the soak test checks. */
export const SOAK_GUARDS: readonly SoakGuard[] = [
  {
    point: POINT,
    kinds: FAULT_KINDS,
    name: "what an attempt half received lives and dies with it",
    file: `${DAEMON_GATEWAY}/outbound_call.ts`,
    find: "  readonly #cutter = new EventCutter();",
    replace:
      "  get #cutter(): EventCutter { return cutterOf(this.#exchange); }",
    also: [{
      file: `${DAEMON_GATEWAY}/outbound_call.ts`,
      find: "/** One attempt under way. */",
      replace: `const CUTTERS = new WeakMap<Exchange, EventCutter>();
function cutterOf(exchange: Exchange): EventCutter {
  const cutter = CUTTERS.get(exchange) ?? new EventCutter();
  CUTTERS.set(exchange, cutter);
  return cutter;
}
/** One attempt under way. */`,
    }],
  },
  {
    point: POINT,
    kinds: FAULT_KINDS,
    name: "an answer that ends inside an event is lost",
    file: `${DAEMON_GATEWAY}/outbound_call.ts`,
    find: "if (this.#cutter.unfinished > 0) {",
    replace: "if (this.#cutter.unfinished < 0) {",
  },
  {
    point: POINT,
    kinds: FAULT_KINDS,
    name: "a stream goes on only from a known position",
    file: `${CORE_GATEWAY}/call.ts`,
    find:
      "this.route.resumable && this.isEventStream && this.position.known &&",
    replace: "this.route.resumable && this.isEventStream &&",
  },
  {
    point: POINT,
    kinds: FAULT_KINDS,
    name: "a stream goes on only where its route allows it",
    file: `${CORE_GATEWAY}/call.ts`,
    find: "this.route.resumable && this.isEventStream && this.position.known;",
    replace: "this.isEventStream && this.position.known;",
    also: [{
      file: `${CORE_GATEWAY}/call_recovery.ts`,
      find: "call.possibleDeliveries < call.route.attempts &&",
      replace: "",
    }],
  },
  {
    point: POINT,
    kinds: FAULT_KINDS,
    name: "an attempt that was left says nothing more",
    file: `${DAEMON_GATEWAY}/outbound_call.ts`,
    find: `  abort(): void {
    if (this.#finished) {`,
    replace: `  abort(): void {
    if (this.#attempt.id !== undefined) {`,
  },
  {
    point: POINT,
    kinds: FAULT_KINDS,
    name: "a torn event is kept back",
    file: `${DAEMON_GATEWAY}/event_splitter.ts`,
    find: "const end = lastBoundary(searched) - this.#tail.length;",
    replace:
      "const end = Math.max(chunk.length, lastBoundary(searched) - 9e9);",
    also: [{
      file: `${DAEMON_GATEWAY}/event_splitter.ts`,
      find: "const end = endOfEvents(text);",
      replace: "const end = Math.max(text.length, endOfEvents(text));",
    }],
  },
  {
    point: POINT,
    kinds: FAULT_KINDS,
    name: "a torn answer without a length is told from a whole one",
    file: `${DAEMON_GATEWAY}/connection_pool.ts`,
    find: "if (this.closeDelimited && isReset(socket)) {",
    replace: "if (this.closeDelimited && socket.errored && isReset(socket)) {",
  },
  {
    point: POINT,
    kinds: FAULT_KINDS,
    name: "a kept connection is not used while bytes of an answer may come",
    file: `${DAEMON_GATEWAY}/outbound_call.ts`,
    find: `    this.#controller?.abort(new Error("Attempt was given up"));
    this.#connection?.close();`,
    replace: "    this.#releaseConnection();",
  },
  {
    point: POINT,
    kinds: PAUSE_KINDS,
    name: "silence is counted while the process listens",
    file: "packages/core/src/listening/stall_adjusted_clock.ts",
    find: "elapsed -= duration;",
    replace: "elapsed -= 0 * duration;",
  },
  {
    point: POINT,
    kinds: PAUSE_KINDS,
    name: "what lies in the sockets is read before timers are served",
    file: "packages/daemon/src/timers/after_poll.ts",
    find: "immediate = setImmediate(run);",
    replace: "run();",
  },
  {
    point: POINT,
    kinds: SLOW_KINDS,
    name: "an attempt that is held back for its caller is not silent",
    file: `${CORE_GATEWAY}/call_recovery.ts`,
    find: "if (backpressureSince !== undefined) {",
    replace: "if (backpressureSince !== undefined && now < 0) {",
  },
  {
    point: POINT,
    kinds: SLOW_KINDS,
    name: "an answer is broken off after what was written",
    file: `${DAEMON_GATEWAY}/abort_reply.ts`,
    find: "if (socket === null || !reply.headersSent) {",
    replace: "if (socket === null || reply.headersSent) {",
  },
  {
    point: POINT,
    kinds: FAULT_KINDS,
    name: "a stream is framed by its entry",
    file: `${DAEMON_GATEWAY}/outbound_call.ts`,
    find: "headers: withoutLength(protocol.answerHeaders(this.#headers)),",
    replace: "headers: protocol.answerHeaders(this.#headers),",
  },
  {
    point: POINT,
    kinds: FAULT_KINDS,
    name: "503 is given for what did not run alone",
    file: `${CORE_GATEWAY}/refusals.ts`,
    find: 'const notRun = verdict.kind === "not_run";',
    replace: "const notRun = verdict.kind !== undefined;",
  },
  {
    point: ACTION_POINT,
    kinds: ACTION_WAVES,
    name: "a refusal on a used connection names its request",
    file: "platform/src/endpoint_protocol.ts",
    find: 'return target.kind === "peer" || !reusedConnection;',
    replace: 'return target.kind === "peer" || reusedConnection !== undefined;',
  },
  {
    point: ACTION_POINT,
    kinds: ACTION_WAVES,
    name: "a connection on which a request was refused is not used again",
    file: `${DAEMON_GATEWAY}/outbound_call.ts`,
    find: 'if (head.notRun && this.#attempt.target.kind === "endpoint") {',
    replace: "if (head.notRun && this.#connection === undefined) {",
  },
  {
    point: ACTION_POINT,
    kinds: ACTION_WAVES,
    name: "an endpoint's status alone promises nothing",
    file: `${CORE_GATEWAY}/call_controller.ts`,
    find: "if (promisesNotRun(answer.status)) {",
    replace: "if (promisesNotRun(0)) {",
  },
  {
    point: ACTION_POINT,
    kinds: ACTION_WAVES,
    name: "two answers that ran into one are no answer",
    file: `${DAEMON_GATEWAY}/outbound_call.ts`,
    find: "if (containsStatusLine(reason, this.#headers)) {",
    replace: "if (containsStatusLine(reason, [])) {",
  },
  {
    point: ACTION_POINT,
    kinds: ACTION_WAVES,
    name: "a lost attempt may have run",
    file: "packages/core/src/verdict/verdict.ts",
    find: 'state === "sent" || state === "lost"',
    replace: 'state === "sent"',
  },
  {
    point: ACTION_POINT,
    kinds: ACTION_WAVES,
    name: "an action is not sent again after it was lost",
    file: `${CORE_GATEWAY}/call_recovery.ts`,
    find: "if (!call.mayRetry || !this.#hasAlternative(call, now)) {",
    replace: "if (!this.#hasAlternative(call, now)) {",
  },
  {
    point: ACTION_POINT,
    kinds: ACTION_WAVES,
    name: "a peer's failure is no refusal",
    file: "platform/src/endpoint_protocol.ts",
    find: "? isRefusedByEntry(headers)",
    replace: "? isRefusedByEntry(headers) || status === 502",
  },
  {
    point: ACTION_POINT,
    kinds: ACTION_WAVES,
    name: "a success names its request",
    file: "platform/src/endpoint_protocol.ts",
    find: "return isSealed && echoedCall === call && !isMarked;",
    replace: "return isSealed && !isMarked;",
  },
];
