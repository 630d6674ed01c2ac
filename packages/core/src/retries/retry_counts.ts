/**
 * Counts of retries by kind, for metrics.
 *
 * @module
 */
import type { RetryKind } from "./retry_kind.ts";

/** Counts the retries of one entry since its start. */
export class RetryCounts {
  /** Requests that were sent to an endpoint once more. */
  readonly sent = new Map<RetryKind, number>();
  /** Retries that the budget did not allow. */
  readonly denied = new Map<RetryKind, number>();

  /** Counts a request that is sent to an endpoint once more. */
  recordSent(kind: RetryKind): void {
    this.sent.set(kind, (this.sent.get(kind) ?? 0) + 1);
  }

  /** Counts a retry that the budget did not allow. */
  recordDenied(kind: RetryKind): void {
    this.denied.set(kind, (this.denied.get(kind) ?? 0) + 1);
  }
}
