/**
 * Which request ended the endpoints that ended. No state: the same ends give the same answer everywhere.
 *
 * @module
 */
import type {
  CallerDigest,
  ContentDigest,
  Instant,
  ServiceId,
  ZoneId,
} from "../ids/index.ts";

/** The end of an endpoint, as all entries together saw it. */
export interface KnownEnd {
  readonly service: ServiceId;
  readonly zone: ZoneId;
  readonly softwareVersion: string;
  readonly at: Instant;
  /** Other endpoints of the service in its zone that took work then. */
  readonly others: number;
  /** For each request there, by caller: milliseconds from the sending of its first copy to the end. */
  readonly victims: Map<ContentDigest, Map<CallerDigest, number>>;
  /** Those of them that were sent by themselves, as they had been at several ends. */
  readonly trials: Set<ContentDigest>;
}

/** A request that ends endpoints. */
export interface Culprit {
  readonly content: ContentDigest;
  /** Its only caller so far; `undefined` where several send it. */
  readonly caller: CallerDigest | undefined;
  readonly score: number;
  readonly ends: readonly KnownEnd[];
}

/** Ends that one request must have been at. Two are chance too often: what one loses is sent to the next. */
const LEAST_ENDS = 3;
/**
 * Natural logarithm of how much likelier a request must be to end what runs it than to have been there by
 * chance: one in 400,000, as a service of today's size loses up to some hundred requests with an endpoint.
 */
const LEAST_SCORE = 13;
/**
 * What must remain of that without the ends that some other request was at too: one end in calm, or two in
 * a row of them. Requests that are lost together are sent on to the same few endpoints and lost together
 * again; of these the one that goes on ending endpoints when the others are gone is the cause.
 */
const LEAST_ALONE = 3.5;
/** Spans, in milliseconds, over which ends are counted: a burst, a rack in series, an unlucky minute. */
const SPANS_MS = [2_000, 10_000, 30_000] as const;
/** Ends in a zone without any cause that is known: no more than one in so many milliseconds. */
const CALM_MS = 20_000;
/** Ends so close to each other have one cause, such as a switch or a power line, and count once. */
const SIMULTANEOUS_MS = 300;
/** No single end proves more, however quick. */
const LEAST_CHANCE = 0.005;
/**
 * An end that one in seven bystanders would have met says nothing: where all endpoints of a zone end again
 * and again, what is sent to each of them would be held for many such ends together.
 */
const LEAST_WEIGHT = 2;
/** Requests are told apart by no less than this: delays of connections and of notice. */
const LEAST_EXPOSURE_MS = 50;

/**
 * The requests that ended endpoints, the surest first; each end has one cause, so that those who were there
 * with a culprit are not held for it.
 *
 * A crash of an endpoint's own, a lost zone or a killed rack ends endpoints under good requests as well. A
 * request is told from its neighbours by three things: how likely it was that its endpoint would end in
 * the time that it was there, by the ends around it in the zone; that this happened three times and more,
 * the last time when it was tried by itself, and it was never answered; and that no other request was at
 * the same ends. See the tests of the quarantine's trials for how often that is wrong.
 */
export function findCulprits(ends: readonly KnownEnd[]): Culprit[] {
  const culprits: Culprit[] = [];
  let left = ends;
  for (;;) {
    const [surest] = suspectsOf(left)
      .filter(wasTried)
      .filter((suspect) => suspect.score >= LEAST_SCORE && isUnique(suspect))
      .sort((one, other) => other.score - one.score);
    if (surest === undefined) {
      return culprits;
    }
    const { content, score } = surest;
    const own = surest.ends.map(({ end }) => end);
    culprits.push({
      content,
      score,
      caller: onlyCaller(content, own),
      ends: own,
    });
    left = left.filter(({ victims }) => !victims.has(content));
  }
}

/** An end with what it says against each request that was there, nothing left out but nothings. */
interface WeighedEnd {
  readonly end: KnownEnd;
  readonly weights: ReadonlyMap<ContentDigest, number>;
}

interface Suspect {
  readonly content: ContentDigest;
  /** Those that speak against it, in order of time. */
  readonly ends: readonly WeighedEnd[];
  readonly score: number;
}

function suspectsOf(ends: readonly KnownEnd[]): Suspect[] {
  const counts = new Map<ContentDigest, WeighedEnd[]>();
  for (const end of [...ends].sort((left, right) => left.at - right.at)) {
    const weights = weightsOf(end, rateAround(end, ends));
    for (const content of weights.keys()) {
      const list = counts.get(content) ?? [];
      list.push({ end, weights });
      counts.set(content, list);
    }
  }
  return [...counts].filter(([, own]) => own.length >= LEAST_ENDS).map((
    [content, own],
  ) => ({ content, ends: own, score: scoreOf(content, own) }));
}

/** Ends of a burst may be chance; one under a trial that came after them is not. */
function wasTried({ content, ends }: Suspect): boolean {
  return ends.some(({ end }) => end.trials.has(content));
}

/** What ends say against a request; those in the same moment say it once. */
function scoreOf(
  content: ContentDigest,
  ends: readonly WeighedEnd[],
): number {
  let score = 0;
  let groupAt = -Infinity;
  let best = 0;
  for (const { end: { at }, weights } of ends) {
    if (at - groupAt > SIMULTANEOUS_MS) {
      score += best;
      best = 0;
      groupAt = at;
    }
    best = Math.max(best, weights.get(content) ?? 0);
  }
  return score + best;
}

function weightsOf(
  { victims }: KnownEnd,
  rate: number,
): Map<ContentDigest, number> {
  const weights = new Map<ContentDigest, number>();
  for (const [content, exposures] of victims) {
    const weight = weightOf(exposures, rate);
    if (weight >= LEAST_WEIGHT) {
      weights.set(content, weight);
    }
  }
  return weights;
}

/**
 * Natural logarithm of one over the chance that an end met a request that has nothing to do with it. Of
 * several copies the one counts that was there for longest: it ran for so long and ended nothing.
 */
function weightOf(
  exposures: ReadonlyMap<CallerDigest, number>,
  rate: number,
): number {
  const exposure = Math.max(LEAST_EXPOSURE_MS, ...exposures.values());
  return -Math.log(Math.max(LEAST_CHANCE, exposure * rate));
}

/** Ends of one endpoint in a millisecond, by the other ends in its zone around this one. */
function rateAround(end: KnownEnd, all: readonly KnownEnd[]): number {
  const around = all.filter((other) =>
    other !== end && other.service === end.service && other.zone === end.zone
  );
  const rates = SPANS_MS.map((span) =>
    around.filter(({ at }) =>
      at > end.at - span && at <= end.at + SIMULTANEOUS_MS
    ).length / span
  );
  return Math.max(1 / CALM_MS, ...rates) / (end.others + 1);
}

/** Whether no other request explains a suspect's ends: one against which they speak too. */
function isUnique({ content, ends }: Suspect): boolean {
  const rivals = new Set(ends.flatMap(({ weights }) => [...weights.keys()]));
  rivals.delete(content);
  return [...rivals].every((rival) =>
    scoreOf(content, ends.filter(({ weights }) => !weights.has(rival))) >=
      LEAST_ALONE
  );
}

function onlyCaller(
  content: ContentDigest,
  ends: readonly KnownEnd[],
): CallerDigest | undefined {
  const callers = new Set(
    ends.flatMap(({ victims }) => [...victims.get(content)!.keys()]),
  );
  return callers.size === 1 ? [...callers][0] : undefined;
}
