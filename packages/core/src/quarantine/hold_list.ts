/**
 * What is held, which means that requests with it are sent to no endpoint, and the rules for how long.
 *
 * @module
 */
import {
  after,
  type Instant,
  type Milliseconds,
  milliseconds,
} from "../ids/index.ts";
import type { HoldNotice } from "./quarantine_messages.ts";
import type { RequestFingerprint } from "./fingerprint.ts";
import { type CrashSubject, isPart, membersOf, subjectsOf } from "./subject.ts";

/**
 * Duration of the first hold. It doubles with each further crash. A harmless request that was held by mistake is
 * released after two minutes.
 */
const FIRST_HOLD_MS = 120_000;
/**
 * Number of trials that may crash an endpoint while something is held. After a quarter of an hour they are used up, and
 * only an operator can end the hold: each further trial would cost all requests of another endpoint.
 */
const MAX_TRIALS = 3;
const FINAL_HOLD_MS = 604_800_000;
/**
 * How long a hold is kept after its time if nothing else happens. Something that comes seldom would otherwise crash
 * as many endpoints again until it is detected.
 */
const RETENTION_MS = 14_400_000;
/** A trial has a result within this time: the endpoint answered, or its crash is known to all entries. */
const TRIAL_TIMEOUT_MS = 12_000;
/**
 * Limit for the number of holds. Each hold stands for at least three crashed endpoints, so this many mean
 * many crashes. If the limit is exceeded, the hold that expires first is dropped.
 */
const MAX_HOLDS = 256;
/** Number of holds in one message. A ping that brings a new entry up to date has little space left. */
const HOLDS_PER_MESSAGE = 2;

/** A hold on a request or on a part of prompts. */
interface Hold {
  readonly subject: CrashSubject;
  caller: HoldNotice["caller"];
  readonly service: HoldNotice["service"];
  readonly versions: Set<string>;
  /** Software versions that answered since the hold began. */
  readonly answeredVersions: Set<string>;
  term: number;
  /** Until then there are trials only on software versions that it has not crashed. */
  heldUntil: Instant;
  /** The hold is kept until then, so that no delayed message brings it back. */
  removeAt: Instant;
  released: boolean;
  lastTrialAt: Instant | undefined;
}

/** What to hold and the software versions that it crashed. */
export type HeldSubject = Pick<
  HoldNotice,
  "subject" | "caller" | "service" | "versions"
>;

/** Whether a request may be sent to an endpoint. */
export type HoldDecision =
  | { readonly kind: "free" }
  /** The request is sent to no endpoint. Retrying before `wait` is over is useless. */
  | {
    readonly kind: "held";
    readonly wait: Milliseconds;
    /** What the request contains that is held. */
    readonly subjects: readonly CrashSubject[];
  }
  /**
   * The request may be sent to endpoints with other software versions than these, either as a trial or
   * because such a version already answered it.
   */
  | {
    readonly kind: "limited";
    readonly except: ReadonlySet<string>;
    readonly trial: boolean;
  };

const FREE: HoldDecision = { kind: "free" };
const NO_VERSIONS: ReadonlySet<string> = new Set();

/**
 * Returns whether this entry may try something that is held on endpoints with other software versions than the given
 * ones.
 */
export type TrialPermission = (
  subject: CrashSubject,
  excludedVersions: ReadonlySet<string>,
) => boolean;

/** The holds known to this entry. */
export class HoldList {
  readonly #holds = new Map<CrashSubject, Hold>();
  /** Held groups of parts by one of their members, so that requests without it need not be compared with them. */
  readonly #groups = new Map<CrashSubject, Set<CrashSubject>>();
  #nextIndex = 0;

  /** Number of holds in force. */
  get size(): number {
    return [...this.#holds.values()].filter(({ released }) => !released).length;
  }

  has(subject: CrashSubject): boolean {
    return this.#holds.get(subject)?.released === false;
  }

  /** Returns what is held of requests with these subjects, whoever sends them. */
  findApplicable(subjects: readonly CrashSubject[]): CrashSubject[] {
    return this.#holds.size === 0
      ? []
      : this.#findHolds(subjects).map(({ subject }) => subject);
  }

  /** Returns whether a request may be sent to an endpoint. */
  check(
    fingerprint: RequestFingerprint,
    mayTry: TrialPermission,
    now: Instant,
  ): HoldDecision {
    if (this.#holds.size === 0) {
      return FREE;
    }
    return this.#findHolds(subjectsOf(fingerprint))
      .filter((hold) => appliesTo(hold, fingerprint.caller))
      .map((hold) => decide(hold, mayTry, now))
      .reduce(stricter, FREE);
  }

  /**
   * Returns which held subjects were present at a crash: those listed, and groups whose members were tried together.
   */
  findPresent(
    listed: ReadonlyMap<CrashSubject, unknown>,
    tried: ReadonlySet<CrashSubject>,
  ): CrashSubject[] {
    return [...this.#holds.values()].filter(({ subject, released }) =>
      !released &&
      (listed.has(subject) ||
        membersOf(subject).every((member) => tried.has(member)))
    ).map(({ subject }) => subject);
  }

  /** Returns the held groups of which some members were tried without the others, and are not held by themselves. */
  findPartlyTried(tried: ReadonlySet<CrashSubject>): CrashSubject[] {
    return [...this.#holds.values()].filter(({ subject, released }) => {
      const members = membersOf(subject);
      const present = members.filter((member) => tried.has(member));
      return !released && present.length > 0 &&
        present.length < members.length &&
        this.findApplicable(present).length === 0;
    }).map(({ subject }) => subject);
  }

  #findHolds(subjects: readonly CrashSubject[]): Hold[] {
    const groups = subjects.flatMap((subject) => [
      ...this.#groups.get(subject) ?? [],
    ]).filter((group) =>
      membersOf(group).every((member) => subjects.includes(member))
    );
    return [...subjects, ...groups].flatMap((subject) => {
      const hold = this.#holds.get(subject);
      return hold === undefined || hold.released ? [] : [hold];
    });
  }

  /**
   * Records that an endpoint answered. If it has a software version that crashed, the hold is over. Otherwise it
   * continues for the crashed versions only. Returns whether the hold is over.
   */
  noteAnswered(subject: CrashSubject, version: string): boolean {
    const hold = this.#holds.get(subject);
    if (hold === undefined || hold.released) {
      return false;
    }
    if (hold.versions.has(version)) {
      return this.release(subject);
    }
    hold.answeredVersions.add(version);
    hold.lastTrialAt = undefined;
    return false;
  }

  /** Records that a request with these subjects was sent, which is a trial of what is held of them. */
  noteTrial(subjects: readonly CrashSubject[], now: Instant): void {
    for (const subject of this.findApplicable(subjects)) {
      this.#holds.get(subject)!.lastTrialAt = now;
    }
  }

  /**
   * Begins a hold, or extends it because another endpoint crashed or other callers send the request too.
   */
  hold(
    { subject, caller, service, versions }: HeldSubject,
    now: Instant,
  ): void {
    const existing = this.#holds.get(subject);
    const term = (existing?.term ?? 0) + 1;
    const duration = term > MAX_TRIALS
      ? FINAL_HOLD_MS
      : FIRST_HOLD_MS * 2 ** (term - 1);
    const previousVersions = existing?.released === false
      ? existing.versions
      : [];
    this.#put({
      subject,
      caller,
      service,
      versions: new Set([...previousVersions, ...versions]),
      answeredVersions: new Set(
        [...existing?.answeredVersions ?? []].filter((version) =>
          !versions.includes(version)
        ),
      ),
      term,
      heldUntil: after(now, duration),
      removeAt: after(now, duration + RETENTION_MS),
      released: false,
      lastTrialAt: undefined,
    });
  }

  /**
   * Whether a crash gives a reason to extend the hold: it happened after the hold's time, on another software version,
   * or with the request of another caller.
   */
  isNewCrash(
    subject: CrashSubject,
    { at, version, caller }: {
      at: Instant;
      version: string;
      caller: HoldNotice["caller"];
    },
  ): boolean {
    const hold = this.#holds.get(subject);
    if (hold === undefined || hold.released) {
      return false;
    }
    const isOtherCaller = hold.caller !== undefined && caller !== hold.caller;
    return at >= hold.heldUntil || !hold.versions.has(version) || isOtherCaller;
  }

  /**
   * Ends a hold, after an endpoint answered or at an operator's command. Returns whether there was one.
   */
  release(subject: CrashSubject): boolean {
    const hold = this.#holds.get(subject);
    if (hold === undefined || hold.released) {
      return false;
    }
    hold.released = true;
    return true;
  }

  /**
   * Merges a hold received from another entry. Returns whether the hold was started, extended or ended by
   * this.
   */
  merge(notice: HoldNotice, now: Instant): boolean {
    const existing = this.#holds.get(notice.subject);
    if (existing !== undefined && notice.term === existing.term) {
      notice.versions.forEach((version) => existing.versions.add(version));
      notice.mended.forEach((version) =>
        existing.answeredVersions.add(version)
      );
      existing.caller = notice.caller === existing.caller
        ? existing.caller
        : undefined;
      return notice.released && this.release(notice.subject);
    }
    if (notice.term < (existing?.term ?? 0)) {
      return false;
    }
    const heldUntil = after(now, notice.remaining);
    this.#put({
      ...notice,
      versions: new Set(notice.versions),
      answeredVersions: new Set(notice.mended),
      heldUntil,
      removeAt: after(heldUntil, RETENTION_MS),
      lastTrialAt: undefined,
    });
    return true;
  }

  /** Returns a hold in the form sent to other entries. */
  notice(subject: CrashSubject, now: Instant): HoldNotice | undefined {
    const hold = this.#holds.get(subject);
    return hold === undefined ? undefined : noticeOf(hold, now);
  }

  /** Returns the holds for the next message. Successive calls cycle through all holds. */
  nextNotices(now: Instant): HoldNotice[] {
    const holds = [...this.#holds.values()];
    const count = Math.min(HOLDS_PER_MESSAGE, holds.length);
    const start = this.#nextIndex;
    this.#nextIndex += count;
    return Array.from(
      { length: count },
      (_, index) => noticeOf(holds[(start + index) % holds.length]!, now),
    );
  }

  /** Returns the holds in force, for operators. */
  list(now: Instant): HoldNotice[] {
    return [...this.#holds.values()].filter(({ released }) => !released)
      .map((hold) => noticeOf(hold, now));
  }

  /**
   * Removes holds whose time was over long ago without a further crash. Returns those that had not been
   * released.
   */
  removeExpired(now: Instant): CrashSubject[] {
    const expired = [...this.#holds.values()].filter(({ removeAt }) =>
      now >= removeAt
    );
    expired.forEach((hold) => this.#delete(hold));
    return expired.filter(({ released }) => !released).map(({ subject }) =>
      subject
    );
  }

  #put(hold: Hold): void {
    const { subject } = hold;
    this.#holds.set(subject, hold);
    const [member] = membersOf(subject);
    if (member !== subject) {
      const groups = this.#groups.get(member!) ?? new Set();
      this.#groups.set(member!, groups.add(subject));
    }
    if (this.#holds.size > MAX_HOLDS) {
      const [earliest] = [...this.#holds.values()].sort((left, right) =>
        left.heldUntil - right.heldUntil
      );
      this.#delete(earliest!);
    }
  }

  #delete({ subject }: Hold): void {
    this.#holds.delete(subject);
    const [member] = membersOf(subject);
    this.#groups.get(member!)?.delete(subject);
    if (this.#groups.get(member!)?.size === 0) {
      this.#groups.delete(member!);
    }
  }
}

/** Returns whether requests to which a hold applies may be sent to an endpoint. */
function decide(
  { subject, term, versions, answeredVersions, heldUntil, lastTrialAt }: Hold,
  mayTry: TrialPermission,
  now: Instant,
): HoldDecision {
  if (answeredVersions.size > 0 && now < heldUntil) {
    return { kind: "limited", except: versions, trial: false };
  }
  const except = now >= heldUntil ? NO_VERSIONS : versions;
  const trialPending = now - (lastTrialAt ?? -Infinity) < TRIAL_TIMEOUT_MS;
  if (term <= MAX_TRIALS && !trialPending && mayTry(subject, except)) {
    return { kind: "limited", except, trial: true };
  }
  const remaining = Math.max(TRIAL_TIMEOUT_MS, heldUntil - now);
  return { kind: "held", wait: milliseconds(remaining), subjects: [subject] };
}

/** Combines the decisions of two holds. */
function stricter(left: HoldDecision, right: HoldDecision): HoldDecision {
  if (left.kind === "held" && right.kind === "held") {
    return {
      kind: "held",
      wait: milliseconds(Math.max(left.wait, right.wait)),
      subjects: [...left.subjects, ...right.subjects],
    };
  }
  if (left.kind === "held" || right.kind === "held") {
    return left.kind === "held" ? left : right;
  }
  if (left.kind === "free" || right.kind === "free") {
    return left.kind === "free" ? right : left;
  }
  return {
    kind: "limited",
    except: new Set([...left.except, ...right.except]),
    trial: left.trial || right.trial,
  };
}

/** Whether a hold applies to a caller's request. Requests with a held part are held whoever sends them. */
function appliesTo(
  { subject, caller }: Hold,
  requestCaller: RequestFingerprint["caller"],
): boolean {
  return isPart(subject) || caller === undefined || caller === requestCaller;
}

function noticeOf(hold: Hold, now: Instant): HoldNotice {
  const { heldUntil, versions, answeredVersions, ...rest } = hold;
  return {
    subject: rest.subject,
    caller: rest.caller,
    service: rest.service,
    versions: [...versions],
    mended: [...answeredVersions],
    term: rest.term,
    remaining: milliseconds(Math.max(0, heldUntil - now)),
    released: rest.released,
  };
}
