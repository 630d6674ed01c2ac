/**
 * Guards that protect the integrity of streams. The soak test must fail when one of them is removed.
 *
 * @module
 */
import type { Guard } from "@sassafrasstep/playground/guards";

const CORE_GATEWAY = "packages/core/src/gateway";
const DAEMON_GATEWAY = "packages/daemon/src/gateway";
const POINT = "streams byte by byte";
const CHANGE_POINT = "changes in force in time";
const KEY_POINT = "keys and limits of customers";
const USAGE_POINT = "memory and descriptors";
const BYTE_POINT = "bytes that nobody would send";
const DEATH_POINT = "entries that end, and recovery";
const PLACE_POINT = "homes and attempts";
const ACTION_POINT = "actions run once, and refusals are true";

/** A guard and the kinds of waves, separated by commas, that are played without it. */
export interface SoakGuard extends Guard {
  readonly kinds: string;
}

const FAULT_KINDS = "stops,ends";
const PAUSE_KINDS = "stalls,pauses";
const SLOW_KINDS = "slow";
/** Prefix of the kinds of waves of actions, which are played by a program of their own. */
export const ACTION_WAVES = "actions:";
const LINK_WAVES = `${ACTION_WAVES}links`;
const REFUSAL_WAVES = `${ACTION_WAVES}refusals`;
const DEATH_WAVES = `${ACTION_WAVES}deaths`;
const CHANGE_WAVES = `${ACTION_WAVES}changes`;
const KEY_WAVES = `${ACTION_WAVES}keys`;

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
    kinds: LINK_WAVES,
    name: "a refusal on a used connection names its request",
    file: "platform/src/endpoint_protocol.ts",
    find: 'return target.kind === "peer" || !reusedConnection;',
    replace: 'return target.kind === "peer" || reusedConnection !== undefined;',
  },
  {
    point: ACTION_POINT,
    kinds: REFUSAL_WAVES,
    name: "a connection on which a request was refused is not used again",
    file: `${DAEMON_GATEWAY}/outbound_call.ts`,
    find: 'if (isRefusal && this.#attempt.target.kind === "endpoint") {',
    replace: "if (isRefusal && this.#connection === undefined) {",
  },
  {
    point: ACTION_POINT,
    kinds: LINK_WAVES,
    name: "an endpoint's status alone promises nothing",
    file: `${CORE_GATEWAY}/call_controller.ts`,
    find: "if (promisesNotRun(answer.status)) {",
    replace: "if (promisesNotRun(0)) {",
  },
  {
    point: ACTION_POINT,
    kinds: LINK_WAVES,
    name: "two answers that ran into one are no answer",
    file: `${DAEMON_GATEWAY}/outbound_call.ts`,
    find: "if (containsStatusLine(reason, this.#headers)) {",
    replace: "if (containsStatusLine(reason, [])) {",
  },
  {
    point: ACTION_POINT,
    kinds: LINK_WAVES,
    name: "a lost attempt may have run",
    file: "packages/core/src/verdict/verdict.ts",
    find: 'state === "sent" || state === "lost"',
    replace: 'state === "sent"',
  },
  {
    point: ACTION_POINT,
    kinds: LINK_WAVES,
    name: "an action is not sent again after it was lost",
    file: `${CORE_GATEWAY}/call_recovery.ts`,
    find: "if (!call.mayRetry || !this.#hasAlternative(call, now)) {",
    replace: "if (!this.#hasAlternative(call, now)) {",
  },
  {
    point: ACTION_POINT,
    kinds: LINK_WAVES,
    name: "a peer's failure is no refusal",
    file: "platform/src/endpoint_protocol.ts",
    find: "? isRefusedByEntry(headers)",
    replace: "? isRefusedByEntry(headers) || status === 502",
  },
  {
    point: ACTION_POINT,
    kinds: LINK_WAVES,
    name: "a success names its request",
    file: "platform/src/endpoint_protocol.ts",
    find: "return isSealed && echoedCall === call && !isMarked;",
    replace: "return isSealed && !isMarked;",
  },
  {
    point: PLACE_POINT,
    kinds: LINK_WAVES,
    name: "a request with homes stays there",
    file: "packages/core/src/routes/route.ts",
    find: "return route.homes.length === 0 || route.homes.includes(region);",
    replace: "return region !== undefined || route.homes.length === 0;",
  },
  {
    point: PLACE_POINT,
    kinds: LINK_WAVES,
    name: "a request is sent to no more endpoints than its route allows",
    file: `${CORE_GATEWAY}/call_recovery.ts`,
    find: "call.possibleDeliveries < call.route.attempts &&",
    replace: "",
  },
  {
    point: DEATH_POINT,
    kinds: DEATH_WAVES,
    name: "the directory forgets an entry that has ended",
    file: "packages/core/src/fleet/fleet_controller.ts",
    find: "export const SUSPICION_TIMEOUT_MS = 2_000;",
    replace: "export const SUSPICION_TIMEOUT_MS = 20_000;",
    also: [{
      file: "packages/core/src/fleet/fleet_controller.ts",
      find: 'return this.#members.withHealth("live");',
      replace: "return this.#members.possiblyLive();",
    }],
  },
  {
    point: CHANGE_POINT,
    kinds: CHANGE_WAVES,
    name: "an evacuated zone receives nothing",
    file: `${CORE_GATEWAY}/evacuations.ts`,
    find: `  begin(zone: ZoneId): void {
    this.zones.add(zone);`,
    replace: "  begin(zone: ZoneId): void {",
  },
  {
    point: CHANGE_POINT,
    kinds: CHANGE_WAVES,
    name: "an endpoint that is draining receives nothing",
    file: `${CORE_GATEWAY}/endpoint_registry.ts`,
    find: 'return record.state === "ready" && !this.#isLeaving(record);',
    replace: "return !this.#isLeaving(record);",
  },
  {
    point: CHANGE_POINT,
    kinds: CHANGE_WAVES,
    name: "a request ends with its route's timeout",
    file: `${CORE_GATEWAY}/call_controller.ts`,
    find: "Math.min(head.timeLeft ?? route.timeout, route.timeout);",
    replace: "head.timeLeft ?? route.timeout;",
  },
  {
    point: CHANGE_POINT,
    kinds: CHANGE_WAVES,
    name: "lists state the lifetime of the settings in force",
    file: `${CORE_GATEWAY}/gateway.ts`,
    find: "bounds: this.#bounds,",
    replace: "bounds: this.self.bounds,",
  },
  {
    point: KEY_POINT,
    kinds: KEY_WAVES,
    name: "a key that nobody has opens nothing",
    file: "packages/core/src/customers/check_key.ts",
    find: 'return { kind: "unknown" };',
    replace: 'return { kind: "accepted", customer: undefined };',
  },
  {
    point: KEY_POINT,
    kinds: KEY_WAVES,
    name: "entries share the limit of a customer",
    file: "packages/core/src/customers/limit_bucket.ts",
    find: "Math.min(room, elapsedSeconds * this.#limit.perSecond * share);",
    replace:
      "Math.min(room, elapsedSeconds * this.#limit.perSecond * 9 * share);",
  },
  {
    point: USAGE_POINT,
    kinds: `${ACTION_WAVES}long`,
    name: "idle connections between entries are closed",
    file: `${DAEMON_GATEWAY}/ingress.ts`,
    find: "const DEFAULT_IDLE_MS = 60_000;",
    replace: "const DEFAULT_IDLE_MS = 600_000;",
  },
  {
    point: BYTE_POINT,
    kinds: `${ACTION_WAVES}bytes`,
    name: "a target that is no URL does not end the entry",
    file: "platform/src/directory.ts",
    find: "return URL.canParse(text) ? new URL(text) : undefined;",
    replace: "return new URL(text);",
  },
];
