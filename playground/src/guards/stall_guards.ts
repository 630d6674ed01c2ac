/**
 * Guards against treating peers and endpoints as silent after this process itself was paused.
 *
 * @module
 */
import type { Guard } from "./guard.ts";

const CORE = "packages/core/src";
const GATEWAY = "packages/daemon/src/gateway";
const POINT = "our own pauses";

/** Guards for pauses of the own process. */
export const STALL_GUARDS: readonly Guard[] = [
  {
    point: POINT,
    name: "no stream is left for what waits to be read",
    file: `${CORE}/gateway/call_recovery.ts`,
    find: "clock.since(attempt.heardAt ?? sentAt, now)",
    replace: "now - (attempt.heardAt ?? sentAt)",
    also: [{
      file: `${CORE}/gateway/call_recovery.ts`,
      find: "clock.since(state.heardAt ?? sentAt, now)",
      replace: "now - (state.heardAt ?? sentAt)",
    }],
  },
  {
    point: POINT,
    name: "a peer's work counts on",
    file: `${CORE}/gateway/endpoint_registry.ts`,
    find: "this.#clock.since(receivedAt, now)",
    replace: "now - receivedAt",
  },
  {
    point: POINT,
    name: "no peer is suspected for an unread answer",
    file: `${CORE}/fleet/probe_schedule.ts`,
    find: "this.#clock.since(sentAt, now)",
    replace: "now - sentAt",
  },
  {
    point: POINT,
    name: "no peer is held for dead for an unread denial",
    file: `${CORE}/fleet/fleet_controller.ts`,
    find: "this.#options.clock.since(since, now)",
    replace: "now - since",
  },
  {
    point: POINT,
    name: "no endpoint counts as ended for an unread answer",
    file: `${CORE}/quarantine/crash_detector.ts`,
    find: "this.#clock.since(lastHeardAt(endpoint, attempt), now)",
    replace: "now - lastHeardAt(endpoint, attempt)",
  },
  {
    point: POINT,
    name: "a stop waits for unread requests",
    file: `${CORE}/gateway/stop_controller.ts`,
    find: "this.#clock.since(lastArrival, now)",
    replace: "now - lastArrival",
  },
  {
    point: POINT,
    name: "a woken entry reads the picture anew",
    file: `${CORE}/gateway/read_schedule.ts`,
    find: "this.#readAgain ? 0 : this.#interval(now)",
    replace: "this.#interval(now)",
  },
  {
    point: POINT,
    name: "no member is suspect for unread heartbeats",
    file: `${CORE}/membership/member_table.ts`,
    find: "this.#clock.since(member.heardAt, now)",
    replace: "now - member.heardAt",
  },
  {
    point: POINT,
    name: "timers come after the sockets",
    file: "packages/daemon/src/timers/after_poll.ts",
    find: "immediate = setImmediate(run);",
    replace: "run();",
  },
  {
    point: POINT,
    name: "no connection is closed with a request unread in it",
    file: `${GATEWAY}/ingress.ts`,
    find: "  closeIdleAfterPoll(server);\n",
    replace: "",
  },
];
