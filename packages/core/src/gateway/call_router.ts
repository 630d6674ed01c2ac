/**
 * Where a request goes next: to an endpoint of the region, to an entry of another region, or nowhere.
 *
 * @module
 */
import {
  type Incarnation,
  type Instant,
  type Milliseconds,
  milliseconds,
  type Randomness,
  type RegionId,
  sample,
} from "../ids/index.ts";
import type { Call } from "./call.ts";
import type { EndpointState } from "./endpoint_state.ts";
import {
  type Ahead,
  type Chosen,
  LocalPlaces,
  type PlaceSources,
  type WaitReason,
} from "./local_places.ts";
import type { CallTarget } from "./messages.ts";
import { findHolder, LEAST_FETCH_TOKENS, sharedParts } from "./placement.ts";
import type { RegionController, RegionView } from "./region_controller.ts";
import type { ServingSet } from "./serving_set.ts";
import { type SubjectRegion, subjectRegion } from "./subject_region.ts";

/** A wait longer than this is worth the way to another region and back. */
const TRAVEL_GAIN_MS = 200;
/** A region this busy takes no requests that could wait at home. */
const MOST_REMOTE_UTILIZATION = 0.8;
const MS_PER_SECOND = 1_000;
/** Part of the urgencies that ranks are spread over; the highest is kept for none. */
const URGENCY_BY_RANK = [2, 5, 7] as const;
const LATE_URGENCY = 8;
/** Part of an endpoint's connections that the region's entries use together. */
const CONNECTION_PART = 0.8;
/** A region that turned a request away gets none of its service for so long: its summary is as old. */
const DECLINED_MS = 400;
/** Wait for endpoints that are there and can't be used at present, until something is known. */
const RETURN_WAIT_MS = 100;

/** Where a request goes. */
export type Way =
  | { readonly kind: "endpoint"; readonly placement: Chosen }
  | {
    readonly kind: "peer";
    readonly incarnation: Incarnation;
    readonly region: RegionId;
    readonly address: string;
  }
  | {
    readonly kind: "wait";
    readonly wait: Milliseconds;
    readonly reason: WaitReason;
  }
  | { readonly kind: "none" };

/** What the router reads. */
export interface RouterSources extends PlaceSources {
  readonly regions: RegionController;
  readonly serving: ServingSet;
  readonly random: Randomness;
}

/** Finds ways. */
export class CallRouter {
  readonly #sources: RouterSources;
  /** When a region last turned a request of a service away. */
  readonly #declined = new Map<string, Instant>();

  readonly #places: LocalPlaces;

  constructor(sources: RouterSources) {
    this.#sources = sources;
    this.#places = new LocalPlaces(sources);
  }

  /** The next way of a request. */
  next(call: Call, ahead: Ahead, now: Instant): Way {
    const { self } = this.#sources;
    const home = call.mayServe(self.region);
    const mayTravel = call.head.relay === undefined;
    const elsewhere = home && mayTravel
      ? this.#bySubject(call, now)
      : undefined;
    if (elsewhere !== undefined) {
      return elsewhere;
    }
    const local = home
      ? this.#places.find(call, { ahead, now })
      : { kind: "none" as const };
    if (local.kind === "chosen") {
      return { kind: "endpoint", placement: local };
    }
    if (local.kind === "none") {
      return (mayTravel && this.#peer(call, Infinity, now)) ||
        this.#awaitReturn(call);
    }
    const expected = Math.max(ahead.wait, local.wait);
    const travel = mayTravel && expected > TRAVEL_GAIN_MS
      ? this.#peer(call, expected, now)
      : undefined;
    const { wait, reason } = local;
    return travel ?? { kind: "wait", wait, reason };
  }

  /** The way to the region that reads the request's subject, where that is worth it. */
  #bySubject(call: Call, now: Instant): Way | undefined {
    const { prompt } = call.head;
    const parts = prompt === undefined ? [] : sharedParts(prompt);
    const subject = parts[parts.length - 1];
    const tokens = parts.reduce((sum, part) => sum + part.tokens, 0);
    const first = call.attempts === 0 && subject !== undefined;
    if (!first || tokens - this.#kept(call, now) < LEAST_FETCH_TOKENS) {
      return undefined;
    }
    const { self, regions } = this.#sources;
    const load = regions.load(call.services[0]!, now);
    const own = subjectView({ region: self.region, load });
    const others = this.#open(call, now).map(subjectView);
    const region = own.engines === 0
      ? undefined
      : subjectRegion(subject.id, own, others);
    return region === undefined ? undefined : this.#entryOf(region, call, now);
  }

  /** Shared tokens of a prompt that an engine of the region keeps. */
  #kept({ head, services }: Call, now: Instant): number {
    const { endpoints } = this.#sources;
    const usable = endpoints.of(services[0]!).filter((state) =>
      endpoints.accepts(state, now)
    );
    return findHolder(head.prompt, usable)?.tokens ?? 0;
  }

  /** A region had no place for a request that was passed on to it. */
  noteDeclined(call: Call, region: RegionId, now: Instant): void {
    this.#declined.set(`${region} ${call.services[0]}`, now);
    if (call.attempts === 1) {
      const { regions } = this.#sources;
      regions.noteDeclined(call.services[0]!, call.head.prompt, now);
    }
  }

  /**
   * Waits where endpoints are published that cannot be used at present: suspects that may answer again,
   * cold ones that another entry tends. Refused at once, callers come back once, into the same hole: on
   * one day 959 of 1,450 refusals were of this kind. A request that was passed on is turned away
   * instead, since its first entry knows more ways.
   */
  #awaitReturn(call: Call): Way {
    const { endpoints } = this.#sources;
    const published = call.head.relay === undefined && call.offered === 0 &&
      call.services.some((service) =>
        endpoints.isPublished(service, (region) => call.mayServe(region))
      );
    return published
      ? {
        kind: "wait",
        wait: milliseconds(RETURN_WAIT_MS),
        reason: "busy",
      }
      : { kind: "none" };
  }

  /** Whether an endpoint may still get a request that was meant for it. */
  stillFits(call: Call, state: EndpointState, now: Instant): boolean {
    const { endpoints } = this.#sources;
    return endpoints.isOpen(state) && endpoints.restOf(state, now) === 0 &&
      this.#places.coldAllows(state, now) &&
      call.services.includes(state.record.service);
  }

  /** The target as the shell needs it. */
  targetOf(call: Call, { state, fetchFrom }: Chosen, now: Instant): CallTarget {
    const entries = 1 + this.#region().length;
    const connections = (state.service?.connectionLimit ?? entries) *
      CONNECTION_PART / entries;
    return {
      kind: "endpoint",
      endpoint: state.record.id,
      address: state.record.address,
      connections: Math.max(1, Math.floor(connections)),
      urgency: state.service?.engine === undefined
        ? undefined
        : urgencyOf(call, now),
      prefixFrom: fetchFrom?.record.address,
    };
  }

  /** Other entries of the own region that may be alive. */
  #region(): Incarnation[] {
    const { self, fleet } = this.#sources;
    return fleet.possible()
      .filter(({ record }) => record.region === self.region)
      .map(({ record }) => record.incarnation);
  }

  /** An entry of the region where the request is served soonest, if that is sooner than waiting. */
  #peer(call: Call, localWait: number, now: Instant): Way | undefined {
    const open = this.#open(call, now);
    const forced = localWait === Infinity;
    const useful = open.filter((view) =>
      forced
        ? (view.load?.endpoints ?? 0) > 0
        : utilization(view) < MOST_REMOTE_UTILIZATION &&
          (view.load?.backlog ?? 0) + TRAVEL_GAIN_MS < localWait
    );
    const best =
      useful.sort((left, right) => utilization(left) - utilization(right))[0];
    return best === undefined
      ? undefined
      : this.#entryOf(best.region, call, now);
  }

  /** Other regions that may serve a request and have not just turned one away. */
  #open(call: Call, now: Instant): RegionView[] {
    const { fleet, regions, self } = this.#sources;
    const [service] = call.services;
    return regions.others(service!, fleet, now).filter(({ region }) =>
      call.mayServe(region) && region !== self.region &&
      now - (this.#declined.get(`${region} ${service}`) ?? -Infinity) >=
        DECLINED_MS
    );
  }

  #entryOf(region: RegionId, call: Call, now: Instant): Way | undefined {
    const { serving, random } = this.#sources;
    const [picked] = sample(serving.of(region, now), 1, random);
    if (picked === undefined || call.attempts >= MOST_ATTEMPTS) {
      return undefined;
    }
    const { incarnation, peerAddress } = picked;
    return { kind: "peer", incarnation, region, address: peerAddress };
  }
}

/** Attempts of one request, failed connections included. */
export const MOST_ATTEMPTS = 6;

/** Part of a region's capacity that is asked for. */
function utilization({ load }: RegionView): number {
  return load === undefined || load.endpoints === 0
    ? Infinity
    : load.work / (load.endpoints * MS_PER_SECOND);
}

function subjectView(view: RegionView): SubjectRegion {
  return {
    region: view.region,
    engines: view.load?.endpoints ?? 0,
    utilization: utilization(view),
  };
}

/** Engines take the urgent first: what can still be on time goes before what is late. */
function urgencyOf(call: Call, now: Instant): number {
  if (call.isLate(now)) {
    return LATE_URGENCY;
  }
  const rank = Math.min(call.rank, URGENCY_BY_RANK.length - 1);
  return URGENCY_BY_RANK[rank]!;
}
