/**
 * Initial state of the `configuration` section, and the timing of configuration reads.
 *
 * @module
 */
import type { ConfigurationView, Writable } from "../blackboard/index.ts";
import type { Revision } from "../ids/index.ts";
import type { TextFault } from "../text/index.ts";

/** Mean period of an entry's own reads, in case neither a watcher nor a peer reports a change. */
export const FALLBACK_READ_PERIOD_MS = 60_000;
/** Entries that learn of a rejected revision spread their reads over this time. */
export const REJECTED_READ_SPREAD_MS = 2_000;
/** Period of reads while an entry has no text yet, or waits for a confirmation after a pause. */
export const INITIAL_READ_PERIOD_MS = 500;
/** Least period of a watcher's reads while the service is older than the text in force. */
export const OUTDATED_READ_PERIOD_MS = 2_000;
/** Least delay after a failed read. */
export const READ_RETRY_DELAY_MS = 2_000;
/** Least time between two watches of an entry, in case the service answers each of them immediately. */
export const MIN_WATCH_INTERVAL_MS = 1_000;
/** Time after which an unanswered copy request is repeated, to another peer if there is one. */
export const COPY_TIMEOUT_MS = 1_000;
/** Time that requests wait for a confirmation after a pause, before the entry continues with its own text. */
export const CONFIRMATION_WAIT_MS = 1_500;

/** Creates the `configuration` section of a new entry. */
export function createConfigurationView(): Writable<ConfigurationView> {
  return {
    revision: 0 as Revision,
    text: "",
    deployment: undefined,
    rejected: undefined,
    missingRevision: undefined,
    confirmedAt: undefined,
    unconfirmed: false,
    platformReachable: false,
    servedOlder: undefined,
    platformReads: 0,
  };
}

/** Describes the fault of a text that belongs to another deployment. */
export function nameMismatchFault(found: string, own: string): TextFault {
  return {
    line: 1,
    section: "deployment",
    key: "name",
    found: `"${found}"`,
    expected: `the name "${own}" of this entry's settings`,
  };
}
