/**
 * Reads after a start which software versions the platform published before it.
 *
 * @module
 */
import {
  after,
  type EndpointId,
  type Instant,
  instant,
  type Milliseconds,
  milliseconds,
  type Revision,
  type ServiceId,
} from "../ids/index.ts";
import type {
  CatalogueChange,
  CatalogueChanges,
  EndpointRecord,
} from "../routes/index.ts";
import type { CatalogueView } from "./catalogue_view.ts";
import type { GatewayEmit } from "./messages.ts";

/** How far to read back: longer than a stream lasts, as far as platforms keep their history. */
const LOOK_BACK_MS = 25_000;
/** At most this many changes are read, since every entry of a large fleet may start at once. */
const MAX_CHANGES = 1_000;
/** The platform may keep less; each further attempt reads half as far back. */
const MAX_ATTEMPTS = 4;
const READ_TIMEOUT_MS = 1_000;
/** Endpoints write their records about once in a period. A time that is too short harms no stream. */
const PERIOD_FRACTION = 0.9;

/** Changes of the catalogue before this entry started. */
export interface CatalogueHistory extends CatalogueChanges {
  /** Whether the changes contain every revision. */
  readonly complete: boolean;
}

/** Versions that were published since a time, without one being missed. */
export interface SeenVersions {
  readonly since: Instant;
  readonly versions: readonly {
    readonly service: ServiceId;
    readonly version: string;
  }[];
}

/** Asks for the history once, after the first full read of the catalogue. */
export class HistoryLookup {
  readonly #emit: GatewayEmit;
  readonly #catalogue: CatalogueView;
  readonly #heartbeat: Milliseconds;
  /** Changes to read back, `undefined` until the first full read. */
  #distance: number | undefined;
  #attempts = 0;

  constructor(
    { emit, catalogue, heartbeat }: {
      emit: GatewayEmit;
      catalogue: CatalogueView;
      /** How often endpoints write their records. */
      heartbeat: Milliseconds;
    },
  ) {
    this.#emit = emit;
    this.#catalogue = catalogue;
    this.#heartbeat = heartbeat;
  }

  /** Asks for the history if the catalogue has been read for the first time. */
  begin(): void {
    const { endpoints, lastAnsweredAt } = this.#catalogue;
    if (this.#distance === undefined && lastAnsweredAt !== undefined) {
      const periods = LOOK_BACK_MS / this.#heartbeat;
      const changes = Math.ceil(periods * Math.max(1, endpoints.size));
      this.#distance = Math.min(MAX_CHANGES, changes);
      this.#ask();
    }
  }

  /** Handles the history, `undefined` if the platform no longer has it or did not answer. */
  receive(
    history: CatalogueHistory | undefined,
    now: Instant,
  ): SeenVersions | undefined {
    if (history === undefined) {
      this.#distance = Math.floor(this.#distance! / 2);
      this.#ask();
      return undefined;
    }
    const { position } = this.#catalogue;
    const isContinuous = history.complete &&
      (history.epoch ?? position.epoch) === position.epoch;
    return isContinuous
      ? seenVersions(history.changes, { heartbeat: this.#heartbeat, now })
      : undefined;
  }

  #ask(): void {
    const { revision } = this.#catalogue.position;
    if (this.#attempts < MAX_ATTEMPTS && this.#distance! > 0) {
      this.#attempts++;
      this.#emit({
        kind: "readHistory",
        after: Math.max(0, revision - this.#distance!) as Revision,
        timeout: milliseconds(READ_TIMEOUT_MS),
      });
    }
  }
}

/**
 * Returns the versions in a series of changes, `undefined` if an endpoint is removed of which it holds no record. The
 * time that the series spans follows from the endpoints' heartbeats, since the platform states none.
 */
function seenVersions(
  changes: readonly CatalogueChange[],
  { heartbeat, now }: { heartbeat: Milliseconds; now: Instant },
): SeenVersions | undefined {
  const records: EndpointRecord[] = [];
  const beats = new Map<EndpointId, { first: number; last: number }>();
  for (const change of changes) {
    if (change.kind === "endpointRemoved" && !beats.has(change.id)) {
      return undefined;
    }
    if (change.kind === "endpoint") {
      const { id, sequence } = change.record;
      const { first } = beats.get(id) ?? { first: sequence };
      // A sequence that starts anew belongs to another life.
      beats.set(id, { first: Math.min(first, sequence), last: sequence });
      records.push(change.record);
    }
  }
  const counts = [...beats.values()].map(({ first, last }) => last - first)
    .sort((left, right) => right - left);
  // Half of the endpoints agree, so that one which writes more often does not stretch the time.
  const agreed = counts[Math.floor(counts.length / 2)] ?? 0;
  const covered = agreed * heartbeat * PERIOD_FRACTION;
  return {
    since: instant(after(now, -covered)),
    versions: records.map(({ service, softwareVersion: version }) => ({
      service,
      version,
    })),
  };
}
