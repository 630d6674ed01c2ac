/**
 * Health checks of endpoints while the platform does not tell which of them are cold.
 *
 * @module
 */
import type {
  EndpointId,
  EndpointLife,
  Instant,
  Milliseconds,
} from "../ids/index.ts";
import type { ColdReport } from "../fleet/index.ts";
import type { CatalogueView } from "./catalogue_view.ts";
import type { EndpointRegistry } from "./endpoint_registry.ts";
import type { EndpointState } from "./endpoint_state.ts";
import type { GatewayEmit } from "./messages.ts";

/**
 * Age of the catalogue from which its records no longer show which endpoints are cold. Two answers are up to three
 * seconds apart while nothing changes.
 */
const MAX_CATALOGUE_AGE_MS = 3_200;
/** What an endpoint gets between two checks, a few requests at the peak, has to be less than a cold one bears. */
const CHECK_INTERVAL_MS = 100;

/** Dependencies of `ColdChecks`. */
export interface ColdCheckDependencies {
  readonly catalogue: CatalogueView;
  readonly endpoints: EndpointRegistry;
  /** Whether this entry checks an endpoint on behalf of its region. */
  readonly isResponsible: (endpoint: EndpointId) => boolean;
  /** Tells the other entries of the region. */
  readonly announce: (reports: readonly ColdReport[]) => void;
  readonly emit: GatewayEmit;
}

/**
 * Asks endpoints whether they are cold. An endpoint can become cold at any time, and an entry that is cut off from the
 * platform would go on sending to it as to a warm one, until it crashes. One entry of the region asks each endpoint.
 */
export class ColdChecks {
  readonly #deps: ColdCheckDependencies;
  readonly #startedAt: Instant;
  readonly #checkedAt = new Map<EndpointId, Instant>();
  /** Number of checks since the start. */
  checks = 0;

  constructor(deps: ColdCheckDependencies, now: Instant) {
    this.#deps = deps;
    this.#startedAt = now;
  }

  tick(now: Instant): void {
    if (this.#catalogueAge(now) <= MAX_CATALOGUE_AGE_MS) {
      this.#checkedAt.clear();
      return;
    }
    for (const state of this.#deps.endpoints.all()) {
      if (this.#isDue(state, now)) {
        this.#check(state, now);
      }
    }
  }

  /** Handles an endpoint's answer to a check. */
  receiveAnswer(
    { endpoint, life, coldFor }: {
      endpoint: EndpointId;
      life: EndpointLife | undefined;
      coldFor: Milliseconds;
    },
    now: Instant,
  ): void {
    const report = { endpoint, life, coldFor };
    if (coldFor > 0 && this.#apply(report, now)) {
      this.#deps.announce([report]);
      this.#deps.emit({
        kind: "log",
        part: "endpoint",
        text: "Endpoint says that it is cold.",
        fields: { endpoint, coldForMs: coldFor },
      });
    }
  }

  /** Handles what another entry of the region was told. */
  receive(reports: readonly ColdReport[], now: Instant): void {
    reports.forEach((report) => this.#apply(report, now));
  }

  /** Returns whether the endpoint was thought to be warm. */
  #apply({ endpoint, life, coldFor }: ColdReport, now: Instant): boolean {
    const state = this.#deps.endpoints.get(endpoint);
    if (state === undefined || state.record.life !== life) {
      return false;
    }
    const wasCold = state.isCold(now);
    state.noteReportedCold(coldFor, now);
    return !wasCold;
  }

  #catalogueAge(now: Instant): number {
    const { lastAnsweredAt, documentFreshness } = this.#deps.catalogue;
    return Math.min(
      now - (lastAnsweredAt ?? this.#startedAt),
      documentFreshness.age(now),
    );
  }

  #isDue(state: EndpointState, now: Instant): boolean {
    const { service, record } = state;
    const { endpoints, isResponsible } = this.#deps;
    const checkedAt = this.#checkedAt.get(record.id) ?? -Infinity;
    return (service?.coldRate ?? 0) > 0 &&
      now - checkedAt >= CHECK_INTERVAL_MS && !state.isCold(now) &&
      endpoints.accepts(state, now) && isResponsible(record.id);
  }

  #check({ record, service }: EndpointState, now: Instant): void {
    const { id: endpoint, life, address } = record;
    this.#checkedAt.set(endpoint, now);
    this.checks++;
    this.#deps.emit({
      kind: "checkHealth",
      endpoint,
      life,
      address,
      path: service!.healthPath,
      connections: service!.connectionLimit,
    });
  }
}
