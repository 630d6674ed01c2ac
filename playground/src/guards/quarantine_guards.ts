/**
 * Guards against requests that crash their endpoints, and against holding requests that do not.
 *
 * @module
 */
import type { Guard } from "./guard.ts";

const QUARANTINE = "packages/core/src/quarantine";
const GATEWAY = "packages/core/src/gateway";
const POINT = "routes: quarantine";

/** Guards of the quarantine. */
export const QUARANTINE_GUARDS: readonly Guard[] = [
  {
    point: POINT,
    name: "a held request goes to no endpoint",
    file: `${GATEWAY}/call_placer.ts`,
    find:
      'this.#deps.outcomes.fail(call, "held", now, verdict.wait);\n        return "over";',
    replace: 'return "free";',
  },
  {
    point: POINT,
    name: "one copy of a suspect is tried at a time",
    file: `${QUARANTINE}/trial_coordinator.ts`,
    find: 'return claimed ? "go" : "wait";',
    replace: 'return claimed || now > trial.since ? "go" : "wait";',
  },
  {
    point: POINT,
    name: "an endpoint that is heard from has not ended",
    file: `${QUARANTINE}/crash_detector.ts`,
    find: "(heardAt ?? -Infinity) <= lostAt + LATE_BYTES_MS &&",
    replace: "(heardAt ?? -Infinity) <= Infinity &&",
  },
  {
    point: POINT,
    name: "an end that was announced does not count",
    file: `${QUARANTINE}/crash_detector.ts`,
    find: 'const planned = endpoint.record.state === "draining" ||',
    replace: "const planned =",
    also: [{
      file: `${QUARANTINE}/crash_detector.ts`,
      find: 'if (endpoint.record.state === "draining") {',
      replace: "if (endpoint.record.state !== endpoint.record.state) {",
    }],
  },
  {
    point: POINT,
    name: "the answer to a request clears it of the ends before",
    file: `${QUARANTINE}/crash_history.ts`,
    find: "if (at <= until && present.delete(subject)) {",
    replace: "if (at > until && present.delete(subject)) {",
  },
  {
    point: POINT,
    name: "of two requests at the same ends neither is held",
    file: `${QUARANTINE}/crash_analysis.ts`,
    find: "if (rivals.length === 0) {",
    replace: "if (rivals.length >= 0) {",
  },
  {
    point: POINT,
    name: "a part needs two trials",
    file: `${QUARANTINE}/crash_analysis.ts`,
    find: "isPart(subject) ? MIN_TRIALS : 1",
    replace: "isPart(subject) ? 1 : 1",
  },
  {
    point: POINT,
    name: "a crash is judged once all entries have reported it",
    file: `${QUARANTINE}/crash_history.ts`,
    find: "now - reportedAt >= SETTLING_MS",
    replace: "now >= reportedAt",
  },
  {
    point: POINT,
    name: "what is held is not tried for ever",
    file: `${QUARANTINE}/hold_list.ts`,
    find: "if (term <= MAX_TRIALS && !trialPending",
    replace: "if (!trialPending",
  },
  {
    point: POINT,
    name: "a part that was just answered is not held",
    file: `${QUARANTINE}/quarantine_controller.ts`,
    find: "if (vetoed && softwareVersion !== undefined) {",
    replace: "if (vetoed && softwareVersion === undefined) {",
  },
  {
    point: POINT,
    name: "the copy counts that was there for longest",
    file: `${QUARANTINE}/crash_history.ts`,
    find: "Math.max(exposure, callers.get(caller) ?? 0)",
    replace: "Math.min(exposure, callers.get(caller) ?? Infinity)",
  },
  {
    point: POINT,
    name: "a hold that was ended does not come back",
    file: `${QUARANTINE}/hold_list.ts`,
    find: "return notice.released && this.release(notice.subject);",
    replace:
      "existing.released = notice.released;\n      return notice.released;",
  },
  {
    point: POINT,
    name: "pings carry holds",
    file: `${GATEWAY}/gateway.ts`,
    find: "nextHolds: (at) => this.#quarantine.holds.nextNotices(at),",
    replace: "nextHolds: () => [],",
  },
];
