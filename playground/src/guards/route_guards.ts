/**
 * The guards of entries before routes.
 *
 * @module
 */
import type { Guard } from "./guard.ts";

const GATEWAY = "packages/core/src/gateway";
const FLEET = "packages/core/src/fleet";
const SHELL = "packages/daemon/src/gateway";

/** Every guard that is checked. */
export const ROUTE_GUARDS: readonly Guard[] = [
  {
    point: "routes: at most once",
    name: "a lost attempt is repeated only where the route allows it",
    file: `${GATEWAY}/call_recovery.ts`,
    find: "if (!call.mayRepeat || !this.#tryElsewhere(call, now)) {",
    replace: "if (!this.#tryElsewhere(call, now)) {",
    also: [{
      file: `${GATEWAY}/call_recovery.ts`,
      find: "call.arrivals < call.route.attempts &&",
      replace: "",
    }],
  },
  {
    point: "routes: not run is true",
    name: "503 is given for what did not run alone",
    file: `${GATEWAY}/refusals.ts`,
    find: 'const notRun = verdict.kind === "not_run";',
    replace: "const notRun = verdict.kind !== undefined;",
  },
  {
    point: "routes: attempts",
    name: "an attempt by way of a peer counts as all",
    file: `${GATEWAY}/call_attempts.ts`,
    find: 'return target.kind === "peer" ? route.attempts : 1;',
    replace: 'return target.kind === "peer" ? Math.min(1, route.attempts) : 1;',
  },
  {
    point: "routes: residency",
    name: "only homes serve",
    file: `${GATEWAY}/call_router.ts`,
    find: "const home = mayServe(call.route, self.region);",
    replace: "const home = true;",
  },
  {
    point: "routes: leaving endpoints",
    name: "an endpoint that drains gets nothing more",
    file: `${GATEWAY}/endpoint_book.ts`,
    find: 'return record.state === "ready" &&',
    replace: "return record.state !== undefined &&",
  },
  {
    point: "routes: leaving endpoints",
    name: "an evacuated zone gets nothing",
    file: `${GATEWAY}/endpoint_book.ts`,
    find: "!this.#catalogue.evacuated.has(record.zone) &&",
    replace: "",
  },
  {
    point: "routes: cold endpoints",
    name: "one entry sends to a cold endpoint",
    file: `${GATEWAY}/cold_allowance.ts`,
    find: "if (owner !== self) {",
    replace: "if (owner === undefined) {",
  },
  {
    point: "routes: cold endpoints",
    name: "endpoints of a zone that is taken back are held for cold",
    file: `${GATEWAY}/endpoint_book.ts`,
    find: ".forEach((state) => state.doubtWarmth(now));",
    replace: ".forEach(() => {});",
  },
  {
    point: "routes: configuration",
    name: "a document never goes back",
    file: `${GATEWAY}/catalogue_controller.ts`,
    find: "if (document.version > (this.document?.version ?? 0)) {",
    replace: "if (document.version > 0) {",
  },
  {
    point: "routes: configuration",
    name: "an entry that knows nothing yet does not say that there is no route",
    file: `${GATEWAY}/call_controller.ts`,
    find: 'return this.#ends.refuseHead(head, "no_document");',
    replace: 'return this.#ends.refuseHead(head, "no_route");',
  },
  {
    point: "routes: configuration",
    name: "a peer is asked where the store does not answer",
    file: `${GATEWAY}/catalogue_controller.ts`,
    find: "if (silence < ASK_PEER_AFTER_MS || now < this.#nextCopyAt) {",
    replace: "if (silence < Infinity || now < this.#nextCopyAt) {",
  },
  {
    point: "routes: configuration",
    name: "what changes were forgotten is read anew",
    file: `${GATEWAY}/catalogue_controller.ts`,
    find: "this.#snapshotWanted = true;\n    this.#nextReadAt = now;",
    replace: "this.#nextReadAt = now;",
  },
  {
    point: "routes: store outage",
    name: "a missing record is doubted for a while after an outage",
    file: `${GATEWAY}/catalogue_controller.ts`,
    find: "if (graceEnd === undefined || !this.endpoints.has(id)) {",
    replace: "if (graceEnd !== null || !this.endpoints.has(id)) {",
  },
  {
    point: "routes: store outage",
    name: "a peer's picture holds only what is published",
    file: `${GATEWAY}/catalogue_controller.ts`,
    find: "!this.#missing.has(id)\n      ),",
    replace: "id !== undefined\n      ),",
  },
  {
    point: "routes: streams",
    name: "a stream goes on only where its route allows it",
    file: `${GATEWAY}/call_recovery.ts`,
    find: "const resumable = call.route.resumable &&",
    replace: "const resumable =",
    also: [{
      file: `${GATEWAY}/call_recovery.ts`,
      find: "call.arrivals < call.route.attempts &&",
      replace: "",
    }],
  },
  {
    point: "routes: streams",
    name: "streams leave an engine that has gone silent",
    file: `${GATEWAY}/call_recovery.ts`,
    find: "if (silent && this.#tryElsewhere(call, now)) {",
    replace: "if (silent && now < 0 && this.#tryElsewhere(call, now)) {",
  },
  {
    point: "routes: list of entries",
    name: "only entries that answer are named",
    file: `${GATEWAY}/entry_directory.ts`,
    find: "...fleet.live().map(({ record }) => record),",
    replace: "...fleet.possible().map(({ record }) => record),",
    also: [{
      file: `${FLEET}/fleet_controller.ts`,
      find: "if (now - since >= SUSPICION_MS) {",
      replace: "if (now - since >= Infinity) {",
    }],
  },
  {
    point: "routes: list of entries",
    name: "a stopping entry is told of at once",
    file: `${GATEWAY}/gateway.ts`,
    find: 'this.fleet.changeState("stopping", now);',
    replace: "",
  },
  {
    point: "routes: graceful stop",
    name: "a stopping entry closes its doors",
    file: `${GATEWAY}/stop_controller.ts`,
    find: "this.#calls.refuseNew();",
    replace: "",
  },
  {
    point: "routes: suspects",
    name: "a suspect's trial is not refused by itself",
    file: `${GATEWAY}/call_router.ts`,
    find: "return this.#sources.endpoints.isOpen(state) &&",
    replace: "return this.#sources.endpoints.accepts(state, now) &&",
  },
  {
    point: "routes: failures",
    name: "a failure is dropped only for another endpoint",
    file: `${GATEWAY}/call_recovery.ts`,
    find: 'const possible = way?.kind === "endpoint" || way?.kind === "peer";',
    replace: "const possible = way !== undefined;",
  },
  {
    point: "routes: overload",
    name: "one request of a kind is asked",
    file: `${GATEWAY}/call_placer.ts`,
    find: "blocked.add(kind);",
    replace: "",
  },
  {
    point: "routes: whole answers",
    name: "a torn answer without a length is told from a whole one",
    file: `${SHELL}/connections.ts`,
    find: "if (this.endsAnswer && isReset(socket)) {",
    replace: "if (this.endsAnswer && socket.errored) {",
  },
  {
    point: "routes: whole answers",
    name: "an answer to another request is not passed on",
    file: `${SHELL}/outbound_call.ts`,
    find: "if (!head.matches) {",
    replace: "if (head.status === 0) {",
  },
  {
    point: "routes: whole answers",
    name: "a torn event is kept back",
    file: `${SHELL}/event_cutter.ts`,
    find: "const end = lastBoundary(bytes);",
    replace: "const end = bytes.length;",
  },
  {
    point: "routes: list of entries",
    name: "an entry that knows little of the fleet asks more often",
    file: `${FLEET}/fleet_controller.ts`,
    find: "const joining = this.#pace.isJoining(this.#members.size, now);",
    replace: "const joining = false;",
  },
  {
    point: "routes: list of entries",
    name: "a newcomer is told of members that are no news",
    file: `${FLEET}/fleet_controller.ts`,
    find: "const isNewcomer = to !== undefined &&",
    replace: "const isNewcomer = to === null &&",
  },
  {
    point: "routes: overload",
    name: "news of a zone's engines go to that zone",
    file: `${GATEWAY}/work_teller.ts`,
    find: "new Set([self.zone, ...zones])",
    replace: "new Set([self.zone])",
  },
  {
    point: "routes: overload",
    name: "all zones hear of each other while one has no engine",
    file: `${GATEWAY}/work_teller.ts`,
    find: "return shared ? this.#zones :",
    replace: "return shared && false ? this.#zones :",
  },
];
