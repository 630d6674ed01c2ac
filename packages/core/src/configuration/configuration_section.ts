/**
 * The section of the operators' text, and when it is read.
 *
 * @module
 */
import type { ConfigurationView, Writable } from "../blackboard/index.ts";
import type { Revision } from "../ids/index.ts";
import type { TextFault } from "../text/index.ts";

/** Each entry reads by itself now and then, in case that no watcher and no peer tells it. */
export const FALLBACK_READ_PERIOD_MS = 60_000;
/** Entries that hear of a rejected text read it within this time, not all at once. */
export const REJECTED_READ_SPREAD_MS = 2_000;
/** Between reads of an entry that still has no text. */
export const FIRST_READ_PERIOD_MS = 500;
/** Pause after a read that failed. */
export const FAILED_READ_PAUSE_MS = 2_000;
/** Pause between two watches of one entry, against a service that answers each at once. */
export const LEAST_WATCH_PAUSE_MS = 1_000;
/** Time after which an unanswered copy is asked for again, of another peer where there is one. */
export const COPY_TIMEOUT_MS = 1_000;
/** How long requests wait for a confirmation after a pause, before the entry goes on with what it holds. */
export const CONFIRMATION_WAIT_MS = 1_500;

/** First section of a new entry. */
export function createConfiguration(): Writable<ConfigurationView> {
  return {
    revision: 0 as Revision,
    text: "",
    deployment: undefined,
    rejected: undefined,
    missing: undefined,
    confirmedAt: undefined,
    unconfirmed: false,
    platformReachable: false,
    platformReads: 0,
  };
}

/** The fault of a text that is another deployment's. */
export function foreignName(found: string, own: string): TextFault {
  return {
    line: 1,
    section: "deployment",
    key: "name",
    found: `"${found}"`,
    expected: `the name "${own}" of this entry's settings`,
  };
}
