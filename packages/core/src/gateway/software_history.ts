/**
 * Which software versions of each service were published lately.
 *
 * @module
 */
import {
  type Instant,
  instant,
  type Milliseconds,
  type ServiceId,
} from "../ids/index.ts";
import type { CatalogueView } from "./catalogue_view.ts";

/** After a longer time without an answer of the platform a version may have come and gone unseen. */
const MAX_GAP_MS = 4_000;

/** When a version was last published, `undefined` if it still is. */
type LastSeen = Instant | undefined;

/** Tracks the versions of the published endpoints of all regions. */
export class SoftwareHistory {
  readonly #catalogue: CatalogueView;
  readonly #versions = new Map<ServiceId, Map<string, LastSeen>>();
  /** Since when no version can have been missed. */
  #since: Instant | undefined;
  #answeredAt: Instant | undefined;
  #generation = -1;

  /** @param options.isFirstStart Whether nothing can have run before this entry started. */
  constructor(
    catalogue: CatalogueView,
    { isFirstStart = false }: { isFirstStart?: boolean },
    now: Instant,
  ) {
    this.#catalogue = catalogue;
    if (isFirstStart) {
      this.#answeredAt = now;
      this.#since = instant(-Infinity);
    }
  }

  /** Applies the current catalogue. */
  update(now: Instant): void {
    const { lastAnsweredAt, generation } = this.#catalogue;
    if (lastAnsweredAt === undefined) {
      return;
    }
    const isContinuous = this.#answeredAt !== undefined &&
      lastAnsweredAt - this.#answeredAt <= MAX_GAP_MS;
    this.#since = isContinuous ? this.#since : now;
    this.#answeredAt = lastAnsweredAt;
    if (generation !== this.#generation) {
      this.#generation = generation;
      this.#markGone(now);
      this.#markPublished();
    }
  }

  /**
   * The only version of a service that an endpoint had within a time, `undefined` if there were several or one may have
   * been missed.
   */
  soleVersion(
    service: ServiceId,
    within: Milliseconds,
    now: Instant,
  ): string | undefined {
    const isComplete = this.#since !== undefined &&
      now - this.#since >= within && now - this.#answeredAt! <= MAX_GAP_MS;
    const recent = [...this.#versions.get(service) ?? []].filter(([, seen]) =>
      seen === undefined || now - seen < within
    );
    return isComplete && recent.length === 1 ? recent[0]![0] : undefined;
  }

  #markGone(now: Instant): void {
    for (const versions of this.#versions.values()) {
      for (const [version, seen] of versions) {
        versions.set(version, seen ?? now);
      }
    }
  }

  #markPublished(): void {
    for (const record of this.#catalogue.endpoints.values()) {
      const { service, softwareVersion } = record;
      const versions = this.#versions.get(service) ?? new Map();
      versions.set(softwareVersion, undefined);
      this.#versions.set(service, versions);
    }
  }
}
