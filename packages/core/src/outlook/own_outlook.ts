/**
 * This region's own outlook: whether a service is busy here, how soon it begins a request, and what it has to spare.
 *
 * @module
 */
import {
  after,
  type Instant,
  milliseconds,
  type RegionId,
  type ServiceId,
} from "../ids/index.ts";
import type { RegionOutlook, ServiceOutlook } from "./outlook_messages.ts";
import {
  estimateService,
  type ServiceEstimate,
  type ServiceFigures,
} from "./service_estimate.ts";

/** Time for which an estimate is used: decisions between two of them see the same outlook. */
const ESTIMATE_PERIOD_MS = 50;
/**
 * A service with a longer backlog is busy: its work may move, and it takes none. One that has a prompt at each engine is
 * not: the next requests find places soon.
 */
const BUSY_BACKLOG_MS = 200;
/** A busy service is at rest again once its backlog has been shorter than this for `REST_AFTER_MS`. */
const REST_BACKLOG_MS = 120;
const REST_AFTER_MS = 500;
/** A region that has nothing to spare and begins requests later than this is taken to be busy. */
const BUSY_START_MS = 150;

/** What `OwnOutlook` is estimated from. */
export interface OwnOutlookSources {
  readonly region: RegionId;
  /** Services with engines. */
  readonly services: () => Iterable<ServiceId>;
  readonly figuresOf: (service: ServiceId, now: Instant) => ServiceFigures;
  /** Called when a service has become busy or is at rest again. */
  readonly onChange: (
    service: ServiceId,
    state: ServiceState,
  ) => void;
}

/** The state of one service in this region. */
export interface ServiceState extends ServiceEstimate {
  readonly isBusy: boolean;
}

interface KnownState extends ServiceState {
  readonly at: Instant;
  /** Since when requests have started soon. */
  readonly calmSince: Instant | undefined;
}

/** Estimates this region's outlook. */
export class OwnOutlook {
  readonly #sources: OwnOutlookSources;
  readonly #states = new Map<ServiceId, KnownState>();

  constructor(sources: OwnOutlookSources) {
    this.#sources = sources;
  }

  /** The state of a service, estimated at most `ESTIMATE_PERIOD_MS` ago. */
  of(service: ServiceId, now: Instant): ServiceState {
    const known = this.#states.get(service);
    if (known !== undefined && now - known.at < ESTIMATE_PERIOD_MS) {
      return known;
    }
    const estimate = estimateService(this.#sources.figuresOf(service, now));
    const { backlogMs } = estimate;
    const calmSince = backlogMs >= REST_BACKLOG_MS
      ? undefined
      : known?.calmSince ?? now;
    const wasBusy = known?.isBusy ?? false;
    const isBusy = estimate.tokensPerMs > 0 && (backlogMs > BUSY_BACKLOG_MS ||
      wasBusy &&
        (calmSince === undefined || now < after(calmSince, REST_AFTER_MS)));
    const state = { ...estimate, isBusy, at: now, calmSince };
    this.#states.set(service, state);
    if (isBusy !== wasBusy) {
      this.#sources.onChange(service, state);
    }
    return state;
  }

  /** Whether any service is busy. */
  isBusy(now: Instant): boolean {
    return this.busyServices(now) > 0;
  }

  /** Number of services that are busy. */
  busyServices(now: Instant): number {
    return [...this.#sources.services()].filter((service) =>
      this.of(service, now).isBusy
    ).length;
  }

  /** What is announced to another region, with the spare rate divided among `takers`. A busy service has none to spare. */
  describe(takers: number, now: Instant): RegionOutlook {
    return {
      region: this.#sources.region,
      age: milliseconds(0),
      services: [...this.#sources.services()].flatMap((service) => {
        const { tokensPerMs, isBusy, startDelays, spareTokensPerSecond } = this
          .of(service, now);
        return tokensPerMs === 0 ? [] : [{
          service,
          startDelays,
          spareTokensPerSecond: isBusy
            ? 0
            : Math.floor(spareTokensPerSecond / Math.max(1, takers)),
        }];
      }),
    };
  }
}

/** Whether a region that announced an outlook of a service has more work for it than it can begin soon. */
export function isBusyOutlook(
  { startDelays, spareTokensPerSecond }: ServiceOutlook,
): boolean {
  return spareTokensPerSecond === 0 &&
    Math.max(...startDelays) >= BUSY_START_MS;
}
