/**
 * Finds the requests and the parts of prompts that crash endpoints. The analysis has no state: the same crashes give the
 * same result at every entry.
 *
 * @module
 */
import type { CallerDigest, Instant, ServiceId, ZoneId } from "../ids/index.ts";
import { type CrashSubject, groupOf, isPart, membersOf } from "./subject.ts";

/** A crash of an endpoint, merged from the reports of all entries. */
export interface ObservedCrash {
  readonly service: ServiceId;
  readonly zone: ZoneId;
  readonly softwareVersion: string;
  readonly at: Instant;
  /** When the first report of it was received. */
  readonly reportedAt: Instant;
  /** Number of other endpoints of the same service and zone that accepted requests at that time. */
  readonly otherEndpoints: number;
  /** The requests in progress at the endpoint and their parts, by caller, with their exposure in milliseconds. */
  readonly present: Map<CrashSubject, Map<CallerDigest, number>>;
  /** Those that were sent as a trial: suspects of earlier crashes, of which one copy at a time is sent. */
  readonly trials: Set<CrashSubject>;
}

/** A request or a part that crashes endpoints. */
export interface CrashingSubject {
  readonly subject: CrashSubject;
  /** The only caller that sent it so far, `undefined` if several callers did or may have. */
  readonly caller: CallerDigest | undefined;
  readonly score: number;
  readonly crashes: readonly ObservedCrash[];
}

/** The crashes to explain by whole requests, and by parts of prompts. */
export interface UnexplainedCrashes {
  readonly requests: readonly ObservedCrash[];
  readonly parts: readonly ObservedCrash[];
}

/**
 * Number of crashes at which a subject must have been present. Two happen by chance too often, because a
 * request that is lost in one crash is sent to the next endpoint.
 */
const MIN_CRASHES = 3;
/**
 * Natural logarithm of how much more likely it must be that the request causes the crashes than that it was
 * present by chance. 13 corresponds to 1 in 400,000, since a service of today's size loses up to some hundred
 * requests with an endpoint.
 */
const MIN_SCORE = 13;
/**
 * Score that must remain without the crashes at which some other subject was present as well: that of one
 * crash in a quiet period, or of two within a series. Requests that are lost together are sent on to the same
 * few endpoints and lost together again. The one whose endpoints continue to crash without the others is the
 * cause.
 */
const MIN_INDEPENDENT_SCORE = 3.5;
/**
 * Periods over which the crash rate is measured: for a burst, for a rack whose hosts fail one after another,
 * and for a bad minute.
 */
const RATE_WINDOWS_MS = [2_000, 10_000, 30_000] as const;
const LONGEST_RATE_WINDOW_MS = Math.max(...RATE_WINDOWS_MS);
/** Assumed crash rate of a zone without a known cause: at most one crash in this time. */
const BASELINE_CRASH_INTERVAL_MS = 20_000;
/** Crashes this close together have a common cause, such as a switch or a power line, and count once. */
const COMMON_CAUSE_WINDOW_MS = 300;
/**
 * Lower limit for the probability of a chance meeting, so that no single crash is stronger evidence than
 * this, however soon it came after the request.
 */
const MIN_PROBABILITY = 0.005;
/**
 * A crash that one in seven uninvolved requests would have met by chance is ignored. Without this limit, when
 * all endpoints of a zone crash repeatedly, requests sent to each of them would be held because many weak
 * crashes add up.
 */
const MIN_WEIGHT = 2;
/**
 * Shorter exposures are treated as this one, since connection and detection delays make them
 * indistinguishable.
 */
const MIN_EXPOSURE_MS = 50;

/**
 * Number of trials at which a part, or the parts of a group together, must have crashed endpoints. A crash has many more
 * parts than requests that come back, so that one of them meets a trial by chance more often. A request needs one, and
 * from two on its trials count for more.
 */
const MIN_TRIALS = 2;
/**
 * Number of trials after which a part is the cause although other suspects were tried with it each time. Until then, the
 * part may only have been in the prompts of several causes, and an answer to a prompt without them would show it.
 */
const MIN_MIXED_TRIALS = 4;

/**
 * Returns what crashes endpoints, strongest evidence first. Each crash is attributed to one subject, so that what was
 * present together with the cause is not held because of it.
 *
 * Software faults of the endpoint, a lost zone or a failed rack also crash endpoints that run harmless
 * requests. The cause differs from what is around it in three ways: its endpoints crashed within its
 * exposure although this was unlikely by the other crashes in the zone; this happened at least three times, once in a
 * trial, and no endpoint answered it; and nothing else was present at the same crashes. The tests of the quarantine's
 * trials measure how often this is wrong.
 */
export function findCrashingSubjects(
  { requests, parts }: UnexplainedCrashes,
): CrashingSubject[] {
  const found: CrashingSubject[] = [];
  let unexplained = { requests, parts };
  for (;;) {
    const [strongest] = [
      ...findSuspects(unexplained.parts, isPart),
      ...findSuspects(unexplained.requests, (subject) => !isPart(subject)),
    ].filter(wasTried)
      .filter(({ score }) => score >= MIN_SCORE)
      .sort((a, b) => b.score - a.score)
      .flatMap(withInseparable);
    if (strongest === undefined) {
      return found;
    }
    found.push(strongest);
    const members = membersOf(strongest.subject);
    const isOther = ({ present }: ObservedCrash): boolean =>
      !members.every((member) => present.has(member));
    unexplained = {
      requests: unexplained.requests.filter(isOther),
      parts: unexplained.parts.filter(isOther),
    };
  }
}

/** Whether a subject, or every member of a group, was sent as a trial to an endpoint that crashed. */
export function wasTriedAt(
  subject: CrashSubject,
  { trials }: ObservedCrash,
): boolean {
  return membersOf(subject).every((member) => trials.has(member));
}

/** A crash and the weight of its evidence against each subject. Weights below `MIN_WEIGHT` are left out. */
interface WeightedCrash {
  readonly crash: ObservedCrash;
  readonly weights: ReadonlyMap<CrashSubject, number>;
}

interface Suspect {
  readonly subject: CrashSubject;
  /** The crashes that are evidence against the subject, in order of time. */
  readonly crashes: readonly WeightedCrash[];
  readonly score: number;
}

/** Suspects among the subjects of one kind that were tried, the only ones that may be held. */
function findSuspects(
  crashes: readonly ObservedCrash[],
  isOfKind: (subject: CrashSubject) => boolean,
): Suspect[] {
  const candidates = findCandidates(crashes, isOfKind);
  const relevant = crashes.filter(({ present }) =>
    [...candidates].some((subject) => present.has(subject))
  );
  const recurring = findRecurring(relevant);
  const crashesBySubject = new Map<CrashSubject, WeightedCrash[]>();
  for (const crash of relevant.sort((left, right) => left.at - right.at)) {
    const weights = weighSubjects(crash, { subjects: recurring, crashes });
    for (const subject of weights.keys()) {
      if (!candidates.has(subject)) {
        continue;
      }
      const known = crashesBySubject.get(subject) ?? [];
      known.push({ crash, weights });
      crashesBySubject.set(subject, known);
    }
  }
  return [...crashesBySubject].filter(([, weighted]) =>
    weighted.length >= MIN_CRASHES
  ).map(([subject, weighted]) => ({
    subject,
    crashes: weighted,
    score: sumWeights(subject, weighted),
  }));
}

/**
 * Subjects that were present at enough crashes, at one of them as a trial. Weighing all subjects at each crash would
 * take much of an entry's time while many endpoints crash.
 */
function findCandidates(
  crashes: readonly ObservedCrash[],
  isOfKind: (subject: CrashSubject) => boolean,
): ReadonlySet<CrashSubject> {
  const tried = new Set(crashes.flatMap(({ trials }) => [...trials]));
  return new Set(
    [...tried].filter((subject) =>
      isOfKind(subject) &&
      crashes.filter(({ present }) => present.has(subject)).length >=
        MIN_CRASHES
    ),
  );
}

/**
 * Subjects that were present at two crashes or more. Others can neither be the cause nor leave too little evidence for
 * it: a single crash counts for less than the difference between the two minimum scores.
 */
function findRecurring(
  crashes: readonly ObservedCrash[],
): ReadonlySet<CrashSubject> {
  const seen = new Set<CrashSubject>();
  const recurring = new Set<CrashSubject>();
  for (const subject of crashes.flatMap(({ present }) => [...present.keys()])) {
    (seen.has(subject) ? recurring : seen).add(subject);
  }
  return recurring;
}

/**
 * Whether a subject was present at a crash as a trial. Crashes of a burst may be chance, a crash during a
 * later trial is not.
 */
function wasTried({ subject, crashes }: Suspect): boolean {
  const trials = crashes.filter(({ crash }) => crash.trials.has(subject));
  return trials.length >= (isPart(subject) ? MIN_TRIALS : 1);
}

/** Adds up the evidence of crashes against a subject. Of simultaneous crashes only the strongest counts. */
function sumWeights(
  subject: CrashSubject,
  crashes: readonly WeightedCrash[],
): number {
  let score = 0;
  let groupStartedAt = -Infinity;
  let groupWeight = 0;
  for (const { crash: { at }, weights } of crashes) {
    if (at - groupStartedAt > COMMON_CAUSE_WINDOW_MS) {
      score += groupWeight;
      groupWeight = 0;
      groupStartedAt = at;
    }
    groupWeight = Math.max(groupWeight, weights.get(subject) ?? 0);
  }
  return score + groupWeight;
}

function weighSubjects(
  crash: ObservedCrash,
  { subjects, crashes }: {
    subjects: ReadonlySet<CrashSubject>;
    crashes: readonly ObservedCrash[];
  },
): Map<CrashSubject, number> {
  const nearby = crashes.filter((other) =>
    other !== crash && other.service === crash.service &&
    other.zone === crash.zone && crash.at - other.at < LONGEST_RATE_WINDOW_MS
  );
  const weights = new Map<CrashSubject, number>();
  for (const [subject, exposures] of crash.present) {
    if (!subjects.has(subject)) {
      continue;
    }
    const rate = estimateCrashRate(crash, { nearby, subject });
    const weight = weighExposure(exposures, rate);
    if (weight >= MIN_WEIGHT) {
      weights.set(subject, weight);
    }
  }
  return weights;
}

/**
 * Returns the negative logarithm of the probability that a crash met an uninvolved subject by chance. If
 * several copies were present, the longest exposure counts, because that copy ran for so long
 * without a crash.
 */
function weighExposure(
  exposures: ReadonlyMap<CallerDigest, number>,
  rate: number,
): number {
  const exposure = Math.max(MIN_EXPOSURE_MS, ...exposures.values());
  return -Math.log(Math.max(MIN_PROBABILITY, exposure * rate));
}

/**
 * Returns the crashes per endpoint and millisecond around a crash, without those that the subject explains. For a part
 * these are the crashes under its trials, which came one by one when it was sent, whatever else the requests contained;
 * at a repeated trial of a request, all at which it was present.
 */
function estimateCrashRate(
  crash: ObservedCrash,
  { nearby, subject }: {
    nearby: readonly ObservedCrash[];
    subject: CrashSubject;
  },
): number {
  const ownTrials = [crash, ...nearby].filter(({ trials }) =>
    trials.has(subject)
  );
  const isRepeatedTrial = ownTrials.length >= MIN_TRIALS &&
    crash.trials.has(subject);
  const explains = (other: ObservedCrash): boolean =>
    isPart(subject)
      ? other.trials.has(subject)
      : isRepeatedTrial && other.present.has(subject);
  const { at: crashedAt, otherEndpoints } = crash;
  const rates = RATE_WINDOWS_MS.map((window) => {
    const inWindow = nearby.filter(({ at }) =>
      at > crashedAt - window && at <= crashedAt + COMMON_CAUSE_WINDOW_MS
    );
    return inWindow.filter((other) => !explains(other)).length / window;
  });
  return Math.max(1 / BASELINE_CRASH_INTERVAL_MS, ...rates) /
    (otherEndpoints + 1);
}

/**
 * Returns a suspect as the cause if nothing else explains its crashes: for each rival, enough evidence remains from
 * crashes at which the rival was not present. Parts that can't be told apart, because they were sent together in each
 * trial, are the cause together: requests with only some of them show which one it is.
 */
function withInseparable(suspect: Suspect): CrashingSubject[] {
  const { subject, crashes, score } = suspect;
  const rivals = findInseparable(suspect);
  const explained = crashes.map(({ crash }) => crash);
  const trials = explained.filter(({ trials }) => trials.has(subject));
  if (rivals.length === 0) {
    if (isPart(subject) && !wasTriedAlone(trials)) {
      return [];
    }
    const caller = isPart(subject)
      ? undefined
      : findOnlyCaller(subject, explained);
    return [{ subject, score, caller, crashes: explained }];
  }
  const parts = [subject, ...rivals].filter(isPart);
  const together = parts.length === rivals.length + 1 &&
    trials.length >= MIN_TRIALS &&
    trials.every((crash) => parts.every((part) => wasTriedAt(part, crash)));
  return together
    ? [{
      subject: groupOf(parts),
      score,
      caller: undefined,
      crashes: explained,
    }]
    : [];
}

/** Whether a subject's trials show that it is the cause, and not something that was tried with it. */
function wasTriedAlone(trials: readonly ObservedCrash[]): boolean {
  return trials.length >= MIN_MIXED_TRIALS ||
    trials.some((crash) => crash.trials.size === 1);
}

/**
 * Returns the rivals of a suspect that explain its crashes as well. A whole request is not compared with its own parts:
 * they are at the same crashes unless other requests have them.
 */
function findInseparable({ subject, crashes }: Suspect): CrashSubject[] {
  const rivals = new Set(crashes.flatMap(({ weights }) => [...weights.keys()]));
  rivals.delete(subject);
  return [...rivals].filter((rival) =>
    (isPart(subject) || !isPart(rival)) &&
    sumWeights(
        subject,
        crashes.filter(({ weights }) => !weights.has(rival)),
      ) < MIN_INDEPENDENT_SCORE
  );
}

function findOnlyCaller(
  subject: CrashSubject,
  crashes: readonly ObservedCrash[],
): CallerDigest | undefined {
  const callers = new Set(
    crashes.flatMap(({ present }) => [...present.get(subject)!.keys()]),
  );
  return callers.size === 1 ? [...callers][0] : undefined;
}
