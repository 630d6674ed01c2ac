/**
 * Tells the region's other entries what this one has in flight, so that their choices of an engine are
 * made from one picture.
 *
 * @module
 */
import type { FleetController, PrefixNews } from "../fleet/index.ts";
import type { Instant } from "../ids/index.ts";
import type { EndpointBook } from "./endpoint_book.ts";
import type { RegionController } from "./region_controller.ts";

/** Between two reports while work changes, for each peer that gets them: bounds the datagrams sent. */
const INTERVAL_PER_PEER_MS = 10;
const LEAST_INTERVAL_MS = 20;
/** Without a change, often enough that peers do not forget what is in flight. */
const REFRESH_MS = 500;
/** Prefixes in one report: keeps a datagram small. */
const MOST_PREFIXES = 8;

/** Sends work reports. */
export class WorkTeller {
  readonly #endpoints: EndpointBook;
  readonly #regions: RegionController;
  #last = "";
  #sentAt: Instant | undefined;
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
    const peers =
      fleet.live().filter(({ record }) => record.region === region).length;
    if (peers === 0) {
      this.#prefixes = [];
      return;
    }
    const since = now - (this.#sentAt ?? -Infinity);
    const interval = Math.max(LEAST_INTERVAL_MS, peers * INTERVAL_PER_PEER_MS);
    if (since < interval) {
      return;
    }
    const endpoints = [...this.#endpoints.all()]
      .filter(({ own }) => own.requests > 0)
      .map((state) => state.report());
    const text = JSON.stringify(endpoints);
    const changed = text !== this.#last || this.#prefixes.length > 0;
    if (!changed && since < REFRESH_MS) {
      return;
    }
    this.#last = text;
    this.#sentAt = now;
    fleet.tellWork({
      endpoints,
      prefixes: this.#prefixes.splice(0, MOST_PREFIXES),
      arrivals: this.#regions.report(now),
    });
  }
}
