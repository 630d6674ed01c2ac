/**
 * Requests that are held, which means sent to no endpoint, and the rules for how long.
 *
 * @module
 */
import {
  after,
  type ContentDigest,
  type Instant,
  type Milliseconds,
  milliseconds,
} from "../ids/index.ts";
import type { HoldNotice } from "./quarantine_messages.ts";
import type { RequestFingerprint } from "./fingerprint.ts";

/**
 * Duration of the first hold of a request. It doubles with each further crash up to the maximum. A harmless
 * request that was held by mistake is released after two minutes. A harmful one has crashed three more
 * endpoints after a quarter of an hour, and then one in the next half hour, hour and so on.
 */
const FIRST_HOLD_MS = 120_000;
const MAX_HOLD_MS = 14_400_000;
/** A trial has a result within this time: the endpoint answered, or its crash is known to all entries. */
const TRIAL_TIMEOUT_MS = 12_000;
/**
 * Limit for the number of holds. Each hold stands for at least three crashed endpoints, so this many mean
 * many crashes. If the limit is exceeded, the hold that expires first is dropped.
 */
const MAX_HOLDS = 256;
/** Number of holds in one message. A ping that brings a new entry up to date has little space left. */
const HOLDS_PER_MESSAGE = 2;

/** A hold on a request. */
interface Hold {
  readonly content: ContentDigest;
  caller: HoldNotice["caller"];
  readonly service: HoldNotice["service"];
  readonly versions: Set<string>;
  /** Software versions that answered the request since the hold began. */
  readonly answeredVersions: Set<string>;
  term: number;
  /** Until then the request is tried only on software versions that it has not crashed. */
  heldUntil: Instant;
  /** The hold is kept until then, so that no delayed message brings it back. */
  removeAt: Instant;
  released: boolean;
  lastTrialAt: Instant | undefined;
}

/** A request to hold and the software versions that it crashed. */
export type HeldRequest = Pick<
  HoldNotice,
  "content" | "caller" | "service" | "versions"
>;

/** Whether a request may be sent to an endpoint. */
export type HoldDecision =
  | { readonly kind: "free" }
  /** The request is sent to no endpoint. Retrying before `wait` is over is useless. */
  | { readonly kind: "held"; readonly wait: Milliseconds }
  /**
   * The request may be sent to endpoints with other software versions than these, either as a trial or
   * because such a version already answered it.
   */
  | { readonly kind: "limited"; readonly except: ReadonlySet<string> };

const FREE: HoldDecision = { kind: "free" };
const NO_VERSIONS: ReadonlySet<string> = new Set();

/**
 * Returns whether this entry may try a held request on endpoints with other software versions than the given
 * ones.
 */
export type TrialPermission = (
  excludedVersions: ReadonlySet<string>,
) => boolean;

/** The holds known to this entry. */
export class HoldList {
  readonly #holds = new Map<ContentDigest, Hold>();
  #nextIndex = 0;

  /** Number of holds in force. */
  get size(): number {
    return [...this.#holds.values()].filter(({ released }) => !released).length;
  }

  has(content: ContentDigest): boolean {
    return this.#holds.get(content)?.released === false;
  }

  /** Returns whether a request may be sent to an endpoint. */
  check(
    { content, caller }: RequestFingerprint,
    mayTry: TrialPermission,
    now: Instant,
  ): HoldDecision {
    const hold = this.#holds.get(content);
    if (hold === undefined || hold.released || !appliesTo(hold, caller)) {
      return FREE;
    }
    if (hold.answeredVersions.size > 0 && now < hold.heldUntil) {
      return { kind: "limited", except: hold.versions };
    }
    const excludedVersions = now >= hold.heldUntil
      ? NO_VERSIONS
      : hold.versions;
    const trialPending =
      now - (hold.lastTrialAt ?? -Infinity) < TRIAL_TIMEOUT_MS;
    if (!trialPending && mayTry(excludedVersions)) {
      return { kind: "limited", except: excludedVersions };
    }
    const remaining = Math.max(TRIAL_TIMEOUT_MS, hold.heldUntil - now);
    return { kind: "held", wait: milliseconds(remaining) };
  }

  /**
   * Records that an endpoint answered a held request. If the request had crashed the same software version,
   * the hold is over. Otherwise the hold continues for the crashed versions only. Returns whether the hold is
   * over.
   */
  noteAnswered(content: ContentDigest, version: string): boolean {
    const hold = this.#holds.get(content);
    if (hold === undefined || hold.released) {
      return false;
    }
    if (hold.versions.has(version)) {
      return this.release(content);
    }
    hold.answeredVersions.add(version);
    hold.lastTrialAt = undefined;
    return false;
  }

  /** Records that a held request was sent as a trial. */
  noteTrial(content: ContentDigest, now: Instant): void {
    const hold = this.#holds.get(content);
    if (hold !== undefined) {
      hold.lastTrialAt = now;
    }
  }

  /**
   * Holds a request, or extends its hold because it crashed another endpoint or other callers send it too.
   */
  hold(
    { content, caller, service, versions }: HeldRequest,
    now: Instant,
  ): void {
    const existing = this.#holds.get(content);
    const term = (existing?.term ?? 0) + 1;
    const duration = Math.min(MAX_HOLD_MS, FIRST_HOLD_MS * 2 ** (term - 1));
    const previousVersions = existing?.released === false
      ? existing.versions
      : [];
    this.#put({
      content,
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
      removeAt: after(now, 2 * duration),
      released: false,
      lastTrialAt: undefined,
    });
  }

  /**
   * Whether a crash during a held request gives a reason to extend the hold: it happened after the hold's
   * time, on another software version, or with the request of another caller.
   */
  isNewCrash(
    content: ContentDigest,
    { at, version, caller }: {
      at: Instant;
      version: string;
      caller: HoldNotice["caller"];
    },
  ): boolean {
    const hold = this.#holds.get(content);
    if (hold === undefined || hold.released) {
      return false;
    }
    const isOtherCaller = hold.caller !== undefined && caller !== hold.caller;
    return at >= hold.heldUntil || !hold.versions.has(version) || isOtherCaller;
  }

  /**
   * Ends a hold, after an endpoint answered the request or at an operator's command. Returns whether there
   * was one.
   */
  release(content: ContentDigest): boolean {
    const hold = this.#holds.get(content);
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
    const existing = this.#holds.get(notice.content);
    if (existing !== undefined && notice.term === existing.term) {
      notice.versions.forEach((version) => existing.versions.add(version));
      notice.mended.forEach((version) =>
        existing.answeredVersions.add(version)
      );
      existing.caller = notice.caller === existing.caller
        ? existing.caller
        : undefined;
      return notice.released && this.release(notice.content);
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
      removeAt: after(heldUntil, FIRST_HOLD_MS),
      lastTrialAt: undefined,
    });
    return true;
  }

  /** Returns a hold in the form sent to other entries. */
  notice(content: ContentDigest, now: Instant): HoldNotice | undefined {
    const hold = this.#holds.get(content);
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
  removeExpired(now: Instant): ContentDigest[] {
    const expired = [...this.#holds.values()].filter(({ removeAt }) =>
      now >= removeAt
    );
    expired.forEach(({ content }) => this.#holds.delete(content));
    return expired.filter(({ released }) => !released).map(({ content }) =>
      content
    );
  }

  #put(hold: Hold): void {
    this.#holds.set(hold.content, hold);
    if (this.#holds.size > MAX_HOLDS) {
      const [earliest] = [...this.#holds.values()].sort((left, right) =>
        left.heldUntil - right.heldUntil
      );
      this.#holds.delete(earliest!.content);
    }
  }
}

function appliesTo(
  { caller }: Hold,
  requestCaller: RequestFingerprint["caller"],
): boolean {
  return caller === undefined || caller === requestCaller;
}

function noticeOf(hold: Hold, now: Instant): HoldNotice {
  const { heldUntil, versions, answeredVersions, ...rest } = hold;
  return {
    content: rest.content,
    caller: rest.caller,
    service: rest.service,
    versions: [...versions],
    mended: [...answeredVersions],
    term: rest.term,
    remaining: milliseconds(Math.max(0, heldUntil - now)),
    released: rest.released,
  };
}
