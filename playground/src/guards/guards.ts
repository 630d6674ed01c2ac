/**
 * Guards of the core and the daemon, grouped by requirement.
 *
 * @module
 */
import type { Guard } from "./guard.ts";

const CORE = "packages/core/src";
const DAEMON = "packages/daemon/src";

/** Guards of the core and the daemon. */
export const GUARDS: readonly Guard[] = [
  {
    point: "at most once",
    name: "a used key is looked up before anything is sent",
    file: `${CORE}/actions/action_controller.ts`,
    find:
      "if (action !== undefined) {\n      return action.outcome === undefined",
    replace:
      "if (action !== undefined && Date.now() < 0) {\n      return action.outcome === undefined",
  },
  {
    point: "at most once",
    name: "only the owner runs a key",
    file: `${CORE}/actions/action_controller.ts`,
    find: "return this.#foreignKeyStatus(customer, owner);",
    replace: 'return { kind: "unused" };',
  },
  {
    point: "at most once",
    name: "rights are given up before the hand-over is sent",
    file: `${CORE}/actions/owner_rights.ts`,
    find: "this.#epochZeroStarts.clear();",
    replace: "",
  },
  {
    point: "at most once",
    name: "the outcomes go with the hand-over",
    file: `${CORE}/actions/action_controller.ts`,
    find: "own.map(toUsedKey)",
    replace: "[]",
  },
  {
    point: "at most once",
    name: "a key of an epoch that is over never runs",
    file: `${CORE}/actions/action_controller.ts`,
    find:
      "return this.#rights.isCurrent(owner.incarnation, owner.epoch, now)\n      ?",
    replace: "return Date.now() > 0\n      ?",
  },
  {
    point: "at most once",
    name: "what may have run is not tried again",
    file: `${CORE}/requests/attempt_tracker.ts`,
    find: 'const isSafe = request.attempts.verdict().kind === "not_run" ||',
    replace: "const isSafe = Date.now() > 0 ||",
  },
  {
    point: "at most once",
    name: "the deadline is read again before the first byte",
    file: `${CORE}/requests/attempt_tracker.ts`,
    find: 'if (now >= request.deadlineAt) {\n      return "deadline";',
    replace: 'if (Date.now() < 0) {\n      return "deadline";',
  },
  {
    point: "at most once",
    name: "the same key with another body is refused",
    file: `${CORE}/requests/key_router.ts`,
    find: "if (status.bodyDigest !== request.facts!.digest) {",
    replace: "if (Date.now() < 0) {",
  },
  {
    point: "at most once",
    name: "a call that may not be repeated needs a key",
    file: `${CORE}/requests/admission.ts`,
    find: 'return "key_required";',
    replace: "return undefined;",
  },
  {
    point: "not run is true",
    name: "one doubtful attempt makes the request doubtful",
    file: `${CORE}/verdict/verdict.ts`,
    find: 'state === "sent" || state === "lost"',
    replace: 'state === "lost" && states.length > 99',
  },
  {
    point: "not run is true",
    name: "an undeclared server error is no refusal",
    file: `${CORE}/requests/attempt_state.ts`,
    find: 'return status >= FIRST_SERVER_ERROR_STATUS ? "lost" : "completed";',
    replace:
      'return status >= FIRST_SERVER_ERROR_STATUS ? "refused" : "completed";',
  },
  {
    point: "not run is true",
    name: "a refused request leaves its queue in the same step",
    file: `${CORE}/requests/request_table.ts`,
    find: "this.#requests.delete(request.head.id);",
    replace: "",
  },
  {
    point: "not run is true",
    name: "a key's earlier sends count in a refusal",
    file: `${CORE}/requests/answer_sender.ts`,
    find: 'return status !== "unused" && status !== "invalid";',
    replace: "return status === undefined;",
  },
  {
    point: "not run is true",
    name: "a silent peer is doubt",
    file: `${CORE}/requests/attempt_state.ts`,
    find: 'case "lost":\n      return "lost";',
    replace: 'case "lost":\n      return "unsent";',
  },
  {
    point: "residency",
    name: "a bound request at another region ends before its body",
    also: [{
      file: `${CORE}/requests/router.ts`,
      find: "if (customer.bound && customer.home !== self.region) {",
      replace: "if (Date.now() < 0) {",
    }],
    file: `${CORE}/requests/admission.ts`,
    find: "if (customer.bound && customer.home !== self.region) {",
    replace: "if (Date.now() < 0) {",
  },
  {
    point: "residency",
    name: "a bound request never travels",
    file: `${CORE}/requests/spill_tracker.ts`,
    find: "return !customer.bound && !head.forwarded",
    replace: "return !head.forwarded",
  },
  {
    point: "residency",
    name: "the home is looked at again before routing",
    file: `${CORE}/requests/router.ts`,
    find: "if (customer.bound && customer.home !== self.region) {",
    replace: "if (Date.now() < 0) {",
  },
  {
    point: "residency",
    name: "a woken entry reads no body before its text is confirmed",
    file: `${CORE}/requests/request_controller.ts`,
    find: "const unconfirmed = this.#board.configuration.unconfirmed &&",
    replace:
      "const unconfirmed = request.facts !== undefined && this.#board.configuration.unconfirmed &&",
  },
  {
    point: "residency",
    name: "copies of outcomes stay in the region",
    file: `${CORE}/actions/outcome_keepers.ts`,
    find: "region === self.region",
    replace: 'region !== ""',
    also: [{
      file: `${CORE}/actions/action_controller.ts`,
      find: "copy.home !== self.region || this.full",
      replace: "this.full",
    }],
  },
  {
    point: "no loop",
    name: "a forwarded call is not passed on",
    file: `${CORE}/requests/key_router.ts`,
    find: "request.head.forwarded || leavesHome || request.attempts.size > 0",
    replace: "leavesHome || request.attempts.size > 0",
  },
  {
    point: "no loop",
    name: "a request that went through this entry is refused",
    file: `${CORE}/requests/admission.ts`,
    find: "if (head.hops.includes(board.self.incarnation)) {",
    replace: "if (Date.now() < 0) {",
  },
  {
    point: "isolation",
    name: "an entry that nobody confirms goes on",
    file: `${CORE}/configuration/configuration_controller.ts`,
    find: "if (since === undefined || now - since < CONFIRMATION_WAIT_MS) {",
    replace: "if (Date.now() > 0 || since === undefined) {",
  },
  {
    point: "isolation",
    name: "an empty or missing VM list stops nothing",
    file: `${CORE}/endpoints/endpoint_controller.ts`,
    find: "if (vms.length === 0 && this.endpoints.size > 0) {",
    replace: "if (Date.now() < 0) {",
  },
  {
    point: "isolation",
    name: "a booting entry asks its peers for the text",
    file: `${CORE}/configuration/configuration_controller.ts`,
    find: "this.#section.missingRevision = newestPeer?.revision;",
    replace:
      "this.#section.missingRevision = undefined; if (Date.now() > 0) { return; }",
  },
  {
    point: "whole answers",
    name: "a stream without its end mark is not whole",
    file: `${CORE}/streams/token_stream.ts`,
    find:
      "return this.#isCurrent && this.#endOffset !== undefined &&\n      this.#progress.nextOffset >= this.#endOffset;",
    replace: "return this.#isCurrent && this.#progress.nextOffset > 0;",
  },
  {
    point: "whole answers",
    name: "another attempt's frames are dropped",
    file: `${CORE}/streams/token_stream.ts`,
    find: "if (frame.id !== this.#id || !this.#isCurrent) {",
    replace: "if (!this.#isCurrent) {",
  },
  {
    point: "whole answers",
    name: "an attempt that was left is deaf",
    file: `${CORE}/streams/token_stream.ts`,
    find: "return this.#progress.attempt === this;",
    replace: "return Date.now() > 0;",
  },
  {
    point: "whole answers",
    name: "only a stream is the rest of an answer that has begun",
    file: `${CORE}/requests/attempt_state.ts`,
    find: 'return streamStarted && state === "completed" ? "lost" : state;',
    replace: "return state;",
  },
  {
    point: "whole answers",
    name: "everybody who waits for a slow caller is let go",
    file: "packages/daemon/src/callers/response_stream.ts",
    find: "this.#waiting.add(resolve);",
    replace: "this.#waiting.clear();\n        this.#waiting.add(resolve);",
  },
  {
    point: "whole answers",
    name: "an answer without a length that is reset is torn",
    file: "packages/daemon/src/clients/reset_aware_client.ts",
    find: 'socket.on("error", () => this.failed = true);',
    replace: 'socket.on("error", () => {});',
  },
  {
    point: "whole answers",
    name: "a reset that comes with an answer's last bytes is told from an end",
    file: "packages/daemon/src/clients/reset_aware_client.ts",
    find: "this.endsAnswer && isReset(socket)",
    replace: "this.endsAnswer && socket.errored !== null",
  },
  {
    point: "whole answers",
    name: "doubled frames are dropped",
    file: `${CORE}/streams/token_stream.ts`,
    find:
      "if (offset < this.#progress.nextOffset || this.#buffered.has(offset)) {",
    replace: "if (Date.now() < 0) {",
  },
  {
    point: "whole answers",
    name: "a broken stream goes on at another engine",
    file: `${CORE}/requests/attempt_tracker.ts`,
    find: "isRepeatable(request.service);\n    const maxAttempts",
    replace: "Date.now() < 0;\n    const maxAttempts",
  },
  {
    point: "leaving endpoints",
    name: "the first sign holds for the VM's life",
    file: `${CORE}/endpoints/endpoint_controller.ts`,
    find: "if (this.departed.has(vm.id)) {",
    replace: "if (Date.now() < 0) {",
  },
  {
    point: "leaving endpoints",
    name: "an endpoint's own word counts",
    file: `${CORE}/endpoints/endpoint_controller.ts`,
    find: "if (report.draining) {",
    replace: "if (Date.now() < 0) {",
  },
  {
    point: "leaving endpoints",
    name: "the list's word counts",
    file: `${CORE}/endpoints/endpoint_controller.ts`,
    find: 'if (vm.state === "leaving") {',
    replace: "if (Date.now() < 0) {",
  },
  {
    point: "graceful stop",
    name: "an entry ends only when nothing is in flight",
    file: `${CORE}/core.ts`,
    find: "this.#requests.active > 0 ||",
    replace: "",
  },
  {
    point: "graceful stop",
    name: "a stopping entry says where to go",
    file: `${CORE}/core.ts`,
    find: "now - this.#stopAt < STOP_REFUSAL_MS",
    replace: "now < this.#stopAt",
  },
  {
    point: "configuration",
    name: "a revision never goes down",
    file: `${CORE}/configuration/configuration_controller.ts`,
    find:
      "if (!Number.isSafeInteger(revision) || revision <= highestChecked) {",
    replace:
      "if (!Number.isSafeInteger(revision) || revision === highestChecked) {",
  },
  {
    point: "configuration",
    name: "a faulty text is not taken",
    file: `${CORE}/text/parse.ts`,
    find: "return deployment !== undefined && faults.length === 0",
    replace: "return deployment !== undefined",
  },
  {
    point: "configuration",
    name: "few entries watch the platform",
    file: `${CORE}/configuration/watcher_election.ts`,
    find: "return ranked.slice(0, WATCHERS_PER_ZONE).includes(self);",
    replace: "return ranked.includes(self) && Date.now() < 0;",
  },
  {
    point: "engine orders",
    name: "a woken orderer whose text nobody confirmed orders nothing",
    file: `${CORE}/placement/placement_controller.ts`,
    find: "if (!this.#isConfigurationConfirmed()) {",
    replace: "if (Date.now() < 0) {",
  },
  {
    point: "engine orders",
    name: "loads are spread over time",
    file: `${CORE}/placement/placement_controller.ts`,
    find: "|| now < this.#nextLoadAt",
    replace: "",
  },
  {
    point: "limits",
    name: "an unheard member counts as taking its part",
    file: `${CORE}/requests/customer_rate_limits.ts`,
    find: 'if (members.some((member) => member.health === "suspect")) {',
    replace: "if (Date.now() < 0) {",
  },
  {
    point: "limits",
    name: "a request that would wait out its deadline is refused at once",
    file: `${CORE}/requests/router.ts`,
    find: "const missesDeadline = now + wait >= request.deadlineAt;",
    replace: "const missesDeadline = Date.now() < 0;",
  },
  {
    point: "limits",
    name: "a dead dependency refuses early",
    file: `${CORE}/requests/admission.ts`,
    find: "if (unavailable !== undefined && keyOwner === undefined) {",
    replace: "if (Date.now() < 0) {",
  },
  {
    point: "peers",
    name: "a stranger's proof is not taken",
    file: `${DAEMON}/peers/credentials.ts`,
    find: "if (match === null) {\n      return false;",
    replace: "if (match === null) {\n      return true;",
  },
];
