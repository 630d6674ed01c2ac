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

/** What is known of the versions of a service. */
export type VersionKnowledge =
  /** No endpoint had another version. */
  | { readonly kind: "sole"; readonly version: string }
  /** There was one version as far as was read, and another may have been published since. */
  | { readonly kind: "unconfirmed" }
  /** There were several, or one may have been missed. */
  | { readonly kind: "unknown" };

/** Tracks the versions of the published endpoints of all regions. */
export class SoftwareHistory {
  readonly #catalogue: CatalogueView;
  readonly #versions = new Map<ServiceId, Map<string, LastSeen>>();
  /** Since when no version can have been missed. */
  #since: Instant | undefined;
  #answeredAt: Instant | undefined;
  /** Time since the last answer that the process's clock did not count. */
  #suspendedMs = 0;
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

  /** Records that the machine was suspended: meanwhile a version may have come and gone. */
  addSuspendedTime(duration: Milliseconds): void {
    this.#suspendedMs += duration;
  }

  /** Applies the current catalogue. */
  update(now: Instant): void {
    const { lastAnsweredAt, generation } = this.#catalogue;
    if (lastAnsweredAt === undefined) {
      return;
    }
    const isContinuous = this.#gapAt(lastAnsweredAt) <= MAX_GAP_MS;
    this.#since = isContinuous ? this.#since : now;
    if (lastAnsweredAt !== this.#answeredAt) {
      this.#answeredAt = lastAnsweredAt;
      this.#suspendedMs = 0;
    }
    if (generation !== this.#generation) {
      this.#generation = generation;
      this.#markGone(now);
      this.#markPublished();
    }
  }

  /** What is known of the versions that endpoints of a service had until `until`, for a time before that. */
  versionsUntil(
    until: Instant,
    { service, within }: { service: ServiceId; within: Milliseconds },
    now: Instant,
  ): VersionKnowledge {
    const isComplete = this.#since !== undefined &&
      now - this.#since >= within && this.#gapAt(now) <= MAX_GAP_MS;
    const recent = [...this.#versions.get(service) ?? []].filter(([, seen]) =>
      seen === undefined || now - seen < within
    );
    const [first] = recent;
    if (!isComplete || first === undefined || recent.length > 1) {
      return { kind: "unknown" };
    }
    // A version that was published since the last answer may have begun streams at other entries.
    return (this.#catalogue.confirmedAt ?? -Infinity) >= until
      ? { kind: "sole", version: first[0] }
      : { kind: "unconfirmed" };
  }

  /** Time from the last answer until `at`. */
  #gapAt(at: Instant): number {
    return this.#answeredAt === undefined
      ? Infinity
      : at - this.#answeredAt + this.#suspendedMs;
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
