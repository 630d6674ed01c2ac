/**
 * Tells the region's other entries what this one has in flight, so that their choices of an engine are
 * made from one picture.
 *
 * @module
 */
import type {
  EndpointWork,
  FleetController,
  PrefixNews,
} from "../fleet/index.ts";
import type { EndpointId, Instant } from "../ids/index.ts";
import type { EndpointBook } from "./endpoint_book.ts";
import type { RegionController } from "./region_controller.ts";

/**
 * Between two reports of what changed. Entries that hear of each other's prompts only after a while
 * send theirs to the same engine, and every stream on it pauses for all of them.
 */
const CHANGE_INTERVAL_MS = 20;
/** Between two whole reports: repairs what a lost datagram left wrong. */
const WHOLE_INTERVAL_MS = 500;
/** A change of the memory in use alone is told by the next whole report. */
const MOST_PREFIXES = 8;

/** Sends work reports. */
export class WorkTeller {
  readonly #endpoints: EndpointBook;
  readonly #regions: RegionController;
  readonly #told = new Map<EndpointId, EndpointWork>();
  #wholeAt: Instant | undefined;
  #changeAt: Instant | undefined;
  #prefixes: PrefixNews[] = [];

  constructor(endpoints: EndpointBook, regions: RegionController) {
    this.#endpoints = endpoints;
    this.#regions = regions;
  }

  tick(
    fleet: FleetController,
    { region, prefixes }: { region: string; prefixes: PrefixNews[] },
    now: Instant,
  ): void {
    this.#prefixes.push(...prefixes);
    if (!fleet.live().some(({ record }) => record.region === region)) {
      this.#prefixes = [];
      return;
    }
    if (now - (this.#wholeAt ?? -Infinity) >= WHOLE_INTERVAL_MS) {
      this.#wholeAt = now;
      this.#tell(fleet, { partial: false, endpoints: this.#all() }, now);
    } else if (now - (this.#changeAt ?? -Infinity) >= CHANGE_INTERVAL_MS) {
      this.#tellChanges(fleet, now);
    }
  }

  #tellChanges(fleet: FleetController, now: Instant): void {
    const endpoints = [...this.#endpoints.all()]
      .map((state) => state.report())
      .filter((work) => this.#isNews(work));
    if (endpoints.length > 0) {
      this.#changeAt = now;
      this.#tell(fleet, { partial: true, endpoints }, now);
    }
  }

  /** Prompts that are read matter at once; the rest is told with the next whole report. */
  #isNews({ endpoint, prefill }: EndpointWork): boolean {
    const told = this.#told.get(endpoint)?.prefill ?? 0;
    return Math.abs(prefill - told) >= LEAST_CHANGE_TOKENS ||
      (prefill === 0) !== (told === 0) && told >= LEAST_CHANGE_TOKENS;
  }

  #all(): EndpointWork[] {
    this.#told.clear();
    return [...this.#endpoints.all()]
      .filter(({ own }) => own.requests > 0)
      .map((state) => state.report());
  }

  #tell(
    fleet: FleetController,
    { partial, endpoints }: {
      partial: boolean;
      endpoints: readonly EndpointWork[];
    },
    now: Instant,
  ): void {
    endpoints.forEach((work) => this.#told.set(work.endpoint, work));
    fleet.tellWork({
      partial,
      endpoints,
      prefixes: this.#prefixes.splice(0, MOST_PREFIXES),
      arrivals: this.#regions.report(now),
    });
  }
}

/** Fewer prompt tokens than this make no stream pause. */
const LEAST_CHANGE_TOKENS = 1_000;
