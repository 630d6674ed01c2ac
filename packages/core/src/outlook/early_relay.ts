/**
 * Decides whether a request goes to another region at once, because this one would begin it too late.
 *
 * @module
 */
import {
  type Instant,
  type Milliseconds,
  type RegionId,
  type ServiceId,
  weightedRendezvous,
} from "../ids/index.ts";
import { MovedSubjects } from "./moved_subjects.ts";
import type { OwnOutlook, ServiceState } from "./own_outlook.ts";
import type { KnownServiceOutlook, RegionOutlooks } from "./region_outlooks.ts";
import { RelayRoom } from "./relay_room.ts";
import { outlookRank } from "./service_estimate.ts";

/** The way to another region and back. */
const REGION_ROUND_TRIP_MS = 160;
/** How much sooner a request has to begin in another region: both times are estimates. */
const MARGIN_MS = 60;
/** A request moves if more than this share of its objective passes until it begins here, since that is an estimate. */
const MAX_OBJECTIVE_SHARE = 0.75;

/** A request for which this region has no place at the moment. */
export interface RelayQuestion {
  readonly service: ServiceId;
  readonly rank: number;
  /** Time since the request arrived. */
  readonly waited: Milliseconds;
  /** Time from its arrival within which it should begin. */
  readonly objective: Milliseconds;
  /** Time that it may wait before it is refused. */
  readonly patience: Milliseconds;
  /** Time until an endpoint here may take it. */
  readonly localWait: Milliseconds;
  /** Prompt tokens, those that no engine of this region holds, and those that other requests share. */
  readonly promptTokens: number;
  readonly uncachedTokens: number;
  readonly sharedTokens: number;
  /** The last part of the prompt that other requests share. */
  readonly subject: string | undefined;
  /** Regions that may serve it and did not decline one like it lately. */
  readonly regions: readonly RegionId[];
  /** Entries of this region that send requests. */
  readonly entries: number;
}

/** A region to send a request to. */
export interface RelayChoice {
  readonly region: RegionId;
  /** Prompt tokens that will be prefilled there. */
  readonly tokens: number;
}

/** What the decision depends on. */
export interface EarlyRelaySources {
  /** Whether requests may be relayed early at all. */
  readonly isOn: () => boolean;
  readonly own: OwnOutlook;
  readonly outlooks: RegionOutlooks;
}

/** Decides about early relays, and accounts for those that were made. */
export class EarlyRelay {
  /** Requests that were sent to another region early since the start, and their prompt tokens. */
  readonly counts = { requests: 0, tokens: 0 };
  readonly #sources: EarlyRelaySources;
  readonly #room = new RelayRoom();
  readonly #moved = new MovedSubjects();

  constructor(sources: EarlyRelaySources) {
    this.#sources = sources;
  }

  get isOn(): boolean {
    return this.#sources.isOn();
  }

  /** The region that a request goes to at once, `undefined` if it stays. */
  choose(question: RelayQuestion, now: Instant): RelayChoice | undefined {
    const { service, waited, objective, regions } = question;
    if (!this.isOn || regions.length === 0) {
      return undefined;
    }
    const own = this.#sources.own.of(service, now);
    const here = startHere(question, own);
    if (!own.isBusy || waited + here <= objective * MAX_OBJECTIVE_SHARE) {
      return undefined;
    }
    const moved = question.subject === undefined
      ? undefined
      : this.#moved.regionOf(question.subject, now);
    const candidates = regions.flatMap((region) => {
      const outlook = this.#sources.outlooks.of(region, service, now);
      const tokens = region === moved
        ? question.promptTokens - question.sharedTokens
        : question.promptTokens;
      const isUseful = outlook !== undefined &&
        isSooner(question, {
          here,
          there: startThere(question, { outlook, tokens, own }),
        }) &&
        this.#room.has({ region, service }, {
          outlook,
          entries: question.entries,
        }, now);
      return isUseful ? [{ region, tokens, outlook }] : [];
    });
    const chosen = candidates.find(({ region }) => region === moved) ??
      preferred(question, candidates);
    return chosen && { region: chosen.region, tokens: chosen.tokens };
  }

  /** Counts a request that goes to another region. */
  record(
    { service, subject }: RelayQuestion,
    { region, tokens }: RelayChoice,
    now: Instant,
  ): void {
    this.#room.spend({ region, service }, tokens);
    this.counts.requests++;
    this.counts.tokens += tokens;
    if (subject !== undefined) {
      this.#moved.note(subject, region, now);
    }
  }
}

/** Expected time to the first event in this region. */
function startHere(
  { rank, waited, localWait, uncachedTokens }: RelayQuestion,
  { startDelays, tokensPerMs }: ServiceState,
): number {
  // A request that has waited is further to the front than one that arrives now.
  const queue = (startDelays[outlookRank(rank)] ?? 0) - waited;
  return Math.max(localWait, queue) +
    uncachedTokens / Math.max(1, tokensPerMs);
}

function startThere(
  { rank }: RelayQuestion,
  { outlook, tokens, own }: {
    outlook: KnownServiceOutlook;
    tokens: number;
    own: ServiceState;
  },
): number {
  const delay = outlook.startDelays[outlookRank(rank)] ??
    Math.max(...outlook.startDelays);
  return delay + REGION_ROUND_TRIP_MS + tokens / Math.max(1, own.tokensPerMs);
}

/** A request that would be late in both regions stays, unless it would be refused here: moving it would only cost. */
function isSooner(
  { waited, objective, patience }: RelayQuestion,
  { here, there }: { here: number; there: number },
): boolean {
  const isServed = waited + there <= objective ||
    here > patience && there <= patience;
  return there + MARGIN_MS < here && isServed;
}

/** All entries of a region send a subject's requests to the same region, so that it is prefilled there once. */
function preferred<
  Candidate extends RelayChoice & { readonly outlook: KnownServiceOutlook },
>(
  { subject }: RelayQuestion,
  candidates: readonly Candidate[],
): Candidate | undefined {
  const key = subject === undefined ? "no subject" : `moved ${subject}`;
  return weightedRendezvous(key, candidates, {
    nameOf: ({ region }) => region,
    weightOf: ({ outlook }) => outlook.spareTokensPerSecond,
  })[0];
}
