/**
 * Endpoint records from the catalogue, as this entry holds them.
 *
 * @module
 */
import type { EndpointId, Instant } from "../ids/index.ts";
import {
  type EndpointRecord,
  isSameLife,
  supersedes,
} from "../routes/index.ts";

/** Maximum number of departed endpoints whose last record is remembered. */
const MAX_DEPARTED_RECORDS = 2_000;

/** A record of a departed endpoint that reappeared in a restored catalogue. */
interface WithheldRecord {
  readonly record: EndpointRecord;
  readonly until: Instant;
}

/** Holds the records by endpoint. A record that goes missing from the catalogue may be kept for a while. */
export class EndpointRecords {
  readonly byId = new Map<EndpointId, EndpointRecord>();
  /** Endpoints whose record is missing from the catalogue, with the time until which they stay in use. */
  readonly #missing = new Map<EndpointId, Instant>();
  /** Last records of endpoints that have departed, most recent departure last. */
  readonly #departed = new Map<EndpointId, EndpointRecord>();
  readonly #withheldRecords = new Map<EndpointId, WithheldRecord>();

  /**
   * Records that are published in the catalogue. Records that are only kept are excluded: a peer that
   * copied one would take it for published and, reading changes from our revision on, never learn of its
   * removal.
   */
  get published(): EndpointRecord[] {
    return [...this.byId.values()].filter(({ id }) => !this.#missing.has(id));
  }

  /** Number of endpoints that are in use although their record is missing. */
  get keptCount(): number {
    return this.#missing.size;
  }

  /** Number of endpoints that are not in use although they have a record. */
  get withheldCount(): number {
    return this.#withheldRecords.size;
  }

  /** Stores a record that an endpoint has written. */
  put(record: EndpointRecord): void {
    const known = this.byId.get(record.id);
    this.#missing.delete(record.id);
    this.#withheldRecords.delete(record.id);
    if (known === undefined || supersedes(record, known)) {
      this.byId.set(record.id, record);
    }
  }

  /**
   * Handles a record that is gone from the catalogue. The endpoint stays in use until `keptUntil`, if
   * given.
   */
  remove(id: EndpointId, keptUntil: Instant | undefined): void {
    this.#withheldRecords.delete(id);
    if (keptUntil === undefined || !this.byId.has(id)) {
      this.#drop(id);
    } else if (!this.#missing.has(id)) {
      this.#missing.set(id, keptUntil);
    }
  }

  /** Replaces the records by the full set of a catalogue read. */
  replace(
    records: readonly EndpointRecord[],
    keptUntil: Instant | undefined,
  ): void {
    const present = new Set(records.map(({ id }) => id));
    records.filter((record) => !this.#isWithheld(record))
      .forEach((record) => this.put(record));
    for (const id of [...this.byId.keys(), ...this.#withheldRecords.keys()]) {
      if (!present.has(id)) {
        this.remove(id, keptUntil);
      }
    }
  }

  /**
   * Replaces the records by those of a backup that the platform was restored from. A departed endpoint may
   * have a record in it and would get requests, at an address that may belong to another service by now.
   * Such an endpoint is not used until it writes a newer record, or until `acceptedAt`: by then the
   * platform has removed the records of silent endpoints.
   */
  restore(
    records: readonly EndpointRecord[],
    { keptUntil, acceptedAt }: {
      keptUntil: Instant | undefined;
      acceptedAt: Instant;
    },
  ): void {
    for (const record of records.filter((item) => this.#hasDeparted(item))) {
      this.#withheldRecords.set(record.id, { record, until: acceptedAt });
    }
    this.replace(records, keptUntil);
  }

  /** Drops kept records and accepts withheld ones whose time is over. Returns whether there were any. */
  expire(now: Instant): boolean {
    const expired = [...this.#missing].filter(([, until]) => now >= until);
    expired.forEach(([id]) => this.#drop(id));
    const accepted = [...this.#withheldRecords.values()].filter(({ until }) =>
      now >= until
    );
    accepted.forEach(({ record }) => this.put(record));
    return expired.length + accepted.length > 0;
  }

  #drop(id: EndpointId): void {
    const known = this.byId.get(id);
    this.#missing.delete(id);
    this.byId.delete(id);
    if (known !== undefined) {
      this.#departed.delete(id);
      this.#departed.set(id, known);
    }
    if (this.#departed.size > MAX_DEPARTED_RECORDS) {
      this.#departed.delete(this.#departed.keys().next().value!);
    }
  }

  /** Whether a record is no newer than the last record of an endpoint that has departed. */
  #hasDeparted(record: EndpointRecord): boolean {
    const last = this.#departed.get(record.id);
    return last !== undefined && !this.byId.has(record.id) &&
      !isNewer(record, last);
  }

  #isWithheld(record: EndpointRecord): boolean {
    const withheld = this.#withheldRecords.get(record.id);
    return withheld !== undefined && !isNewer(record, withheld.record);
  }
}

/** Whether the endpoint wrote `record` after `known`. */
function isNewer(record: EndpointRecord, known: EndpointRecord): boolean {
  return supersedes(record, known) &&
    !(isSameLife(record, known) && record.sequence === known.sequence);
}
