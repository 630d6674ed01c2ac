/**
 * Endpoints' records as this entry holds them.
 *
 * @module
 */
import type { EndpointId, Instant } from "../ids/index.ts";
import {
  type EndpointRecord,
  isSameLife,
  supersedes,
} from "../routes/index.ts";

/** Gone endpoints that are remembered. */
const MOST_DEPARTED = 2_000;

/** A record that a restored catalogue brought back. */
interface WithheldRecord {
  readonly record: EndpointRecord;
  readonly until: Instant;
}

/** Records by endpoint. A record that goes missing may be kept for a while. */
export class EndpointRecords {
  readonly all = new Map<EndpointId, EndpointRecord>();
  /** Endpoints whose record is missing, with the time until which that is not believed. */
  readonly #missing = new Map<EndpointId, Instant>();
  /** Last records of endpoints that are gone, the latest to go last. */
  readonly #departed = new Map<EndpointId, EndpointRecord>();
  readonly #withheld = new Map<EndpointId, WithheldRecord>();

  /**
   * Those that are published. One that is only kept is not among them: a peer would take it for published
   * and, reading on from our revision, never learn that it is gone.
   */
  get published(): EndpointRecord[] {
    return [...this.all.values()].filter(({ id }) => !this.#missing.has(id));
  }

  /** Endpoints that are used although their record is missing. */
  get kept(): number {
    return this.#missing.size;
  }

  /** Endpoints that are not used although there is a record. */
  get withheld(): number {
    return this.#withheld.size;
  }

  /** An endpoint has written its record. */
  put(record: EndpointRecord): void {
    const known = this.all.get(record.id);
    this.#missing.delete(record.id);
    this.#withheld.delete(record.id);
    if (known === undefined || supersedes(record, known)) {
      this.all.set(record.id, record);
    }
  }

  /** The record is missing; the endpoint is used until `keptUntil`, if at all. */
  remove(id: EndpointId, keptUntil: Instant | undefined): void {
    this.#withheld.delete(id);
    if (keptUntil === undefined || !this.all.has(id)) {
      this.#drop(id);
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
    records.filter((record) => !this.#isWithheld(record))
      .forEach((record) => this.put(record));
    for (const id of [...this.all.keys(), ...this.#withheld.keys()]) {
      if (!present.has(id)) {
        this.remove(id, keptUntil);
      }
    }
  }

  /**
   * Takes all records of a copy that the platform came back from. A record in it of an endpoint that has
   * gone since would get requests, at an address that may be another service's by now: unless the endpoint
   * writes again it is not used until `believedAt`, by when the platform has removed the records of those
   * that are silent.
   */
  restore(
    records: readonly EndpointRecord[],
    { keptUntil, believedAt }: {
      keptUntil: Instant | undefined;
      believedAt: Instant;
    },
  ): void {
    for (const record of records.filter((item) => this.#hasDeparted(item))) {
      this.#withheld.set(record.id, { record, until: believedAt });
    }
    this.replace(records, keptUntil);
  }

  /** Ends what was for a while; whether there was any. */
  expire(now: Instant): boolean {
    const dropped = [...this.#missing].filter(([, until]) => now >= until);
    dropped.forEach(([id]) => this.#drop(id));
    const believed = [...this.#withheld.values()].filter(({ until }) =>
      now >= until
    );
    believed.forEach(({ record }) => this.put(record));
    return dropped.length + believed.length > 0;
  }

  #drop(id: EndpointId): void {
    const known = this.all.get(id);
    this.#missing.delete(id);
    this.all.delete(id);
    if (known !== undefined) {
      this.#departed.delete(id);
      this.#departed.set(id, known);
    }
    if (this.#departed.size > MOST_DEPARTED) {
      this.#departed.delete(this.#departed.keys().next().value!);
    }
  }

  /** Whether a record is no newer than the last one of an endpoint that is gone. */
  #hasDeparted(record: EndpointRecord): boolean {
    const last = this.#departed.get(record.id);
    return last !== undefined && !this.all.has(record.id) &&
      !isNewer(record, last);
  }

  #isWithheld(record: EndpointRecord): boolean {
    const withheld = this.#withheld.get(record.id);
    return withheld !== undefined && !isNewer(record, withheld.record);
  }
}

/** Whether an endpoint wrote one record after the other. */
function isNewer(record: EndpointRecord, known: EndpointRecord): boolean {
  return supersedes(record, known) &&
    !(isSameLife(record, known) && record.sequence === known.sequence);
}
