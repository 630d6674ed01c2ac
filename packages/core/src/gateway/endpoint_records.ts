/**
 * Endpoints' records as this entry holds them.
 *
 * @module
 */
import type { EndpointId, Instant } from "../ids/index.ts";
import { type EndpointRecord, supersedes } from "../routes/index.ts";

/** Records by endpoint. A record that goes missing may be kept for a while. */
export class EndpointRecords {
  readonly all = new Map<EndpointId, EndpointRecord>();
  /** Endpoints whose record is missing, with the time until which that is not believed. */
  readonly #missing = new Map<EndpointId, Instant>();

  /**
   * Those that are published. One that is only kept is not among them: a peer would take it for published
   * and, reading on from our revision, never learn that it is gone.
   */
  get published(): EndpointRecord[] {
    return [...this.all.values()].filter(({ id }) => !this.#missing.has(id));
  }

  put(record: EndpointRecord): void {
    const known = this.all.get(record.id);
    this.#missing.delete(record.id);
    if (known === undefined || supersedes(record, known)) {
      this.all.set(record.id, record);
    }
  }

  /** The record is missing; the endpoint is used until `keptUntil`, if at all. */
  remove(id: EndpointId, keptUntil: Instant | undefined): void {
    if (keptUntil === undefined || !this.all.has(id)) {
      this.#missing.delete(id);
      this.all.delete(id);
    } else if (!this.#missing.has(id)) {
      this.#missing.set(id, keptUntil);
    }
  }

  /** Takes all records that there are. */
  replace(
    records: readonly EndpointRecord[],
    keptUntil: Instant | undefined,
  ): void {
    const present = new Set(records.map(({ id }) => id));
    records.forEach((record) => this.put(record));
    for (const id of this.all.keys()) {
      if (!present.has(id)) {
        this.remove(id, keptUntil);
      }
    }
  }

  /** Drops those that were kept long enough; whether there were any. */
  expire(now: Instant): boolean {
    const over = [...this.#missing].filter(([, until]) => now >= until);
    for (const [id] of over) {
      this.#missing.delete(id);
      this.all.delete(id);
    }
    return over.length > 0;
  }
}
