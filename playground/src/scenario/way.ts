/**
 * What the ways of requests in virtual time share.
 *
 * @module
 */
import type { Attempt, AttemptEnd, StoredAnswer } from "@sassafrasstep/core";
import type { CallerSend, WayEnd } from "./caller_results.ts";
import type { VirtualEntry } from "./virtual_entry.ts";

/** Where a request that an entry works on came from. */
export interface Open {
  readonly entry: VirtualEntry;
  readonly send: CallerSend;
  /** Id at the first entry. */
  readonly origin: string;
  readonly hops: number;
  readonly reply: (answer: WayEnd) => void;
}

/** No connection came about. */
export const CONNECT_REFUSED: AttemptEnd = {
  kind: "unsent",
  detail: "connect refused",
};
/** How long an attempt waits for one that hangs. */
export const CONNECT_TIMEOUT_MS = 1_000;
/** The connection broke after the attempt was sent. */
export const RESET: AttemptEnd = { kind: "lost", detail: "reset" };

/** An answer as entries keep it. */
export function storedAnswer(
  { status, body }: { status: number; body: string },
): StoredAnswer {
  return {
    status,
    contentType: "text/plain",
    body: Buffer.from(body).toString("base64"),
  };
}

/** Whether an entry still wants an attempt whose connection stands. */
export function isWanted(entry: VirtualEntry, { id }: Attempt): boolean {
  return entry.ask({ kind: "commit", attempt: id })
    .some(({ kind }) => kind === "proceed");
}

/** Tells an entry how an attempt ended. */
export function endingOf(
  entry: VirtualEntry,
  { id }: Attempt,
): (end: AttemptEnd) => void {
  return (end) => entry.tell({ kind: "attemptEnded", attempt: id, end });
}
