/**
 * Types and helpers that the transports for requests share.
 *
 * @module
 */
import type { Attempt, AttemptEnd, StoredAnswer } from "@sassafrasstep/core";
import type { CallerRequest, RequestOutcome } from "./caller_results.ts";
import type { VirtualEntry } from "./virtual_entry.ts";

/** A request that an entry is working on, and the way back to its sender. */
export interface OpenRequest {
  readonly entry: VirtualEntry;
  readonly request: CallerRequest;
  /** The id that the first entry assigned to the request. */
  readonly originId: string;
  readonly hops: number;
  readonly reply: (outcome: RequestOutcome) => void;
}

/** The connection could not be established. */
export const CONNECT_REFUSED: AttemptEnd = {
  kind: "unsent",
  detail: "connect refused",
};
/** How long an attempt waits for a connection that is not established. */
export const CONNECT_TIMEOUT_MS = 1_000;
/** The connection broke after the attempt was sent. */
export const RESET: AttemptEnd = { kind: "lost", detail: "reset" };

/** Converts an answer to the form in which entries store it. */
export function storedAnswer(
  { status, body }: { status: number; body: string },
): StoredAnswer {
  return {
    status,
    contentType: "text/plain",
    body: Buffer.from(body).toString("base64"),
  };
}

/** Whether an entry still wants an attempt to be sent now that its connection is established. */
export function isWanted(entry: VirtualEntry, { id }: Attempt): boolean {
  return entry.handleNow({ kind: "commit", attempt: id })
    .some(({ kind }) => kind === "proceed");
}

/** Returns a function that reports to an entry how an attempt ended. */
export function createEndReporter(
  entry: VirtualEntry,
  { id }: Attempt,
): (end: AttemptEnd) => void {
  return (end) => entry.sendEvent({ kind: "attemptEnded", attempt: id, end });
}
