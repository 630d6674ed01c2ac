/**
 * Requests that are sent to no endpoint, for how long, and what ends that.
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
 * First time that a request is held, doubled with each end that it brings after that, up to the most. A
 * good request that was held by mistake is back after two minutes; a bad one has ended three endpoints more
 * after a quarter of an hour, and then one in each half hour, hour and so on.
 */
const FIRST_HOLD_MS = 120_000;
const MOST_HOLD_MS = 14_400_000;
/** A trial has an outcome by then: its endpoint has answered, or its end is known everywhere. */
const TRIAL_MS = 12_000;
/** Each took three endpoints at least, so that many mean many ends; the one that ends first yields. */
const MOST_HOLDS = 256;
/** Holds told in one message: a ping to a newcomer has little room left. */
const HOLDS_PER_MESSAGE = 2;

/** One hold. */
interface Hold {
  readonly content: ContentDigest;
  caller: HoldNotice["caller"];
  readonly service: HoldNotice["service"];
  readonly versions: Set<string>;
  /** Software that has answered it since. */
  readonly mended: Set<string>;
  term: number;
  /** Until then nothing is tried but software that it has not ended yet. */
  until: Instant;
  /** Remembered so long, so that no late notice brings it back. */
  forgetAt: Instant;
  released: boolean;
  triedAt: Instant | undefined;
}

/** What is held, and why. */
export type HeldRequest = Pick<
  HoldNotice,
  "content" | "caller" | "service" | "versions"
>;

/** What becomes of a request. */
export type HoldVerdict =
  | { readonly kind: "free" }
  /** It goes to no endpoint; there is no use in asking again before `wait` is over. */
  | { readonly kind: "held"; readonly wait: Milliseconds }
  /** It may go to endpoints of other software than this: as a trial, or as that has answered it. */
  | { readonly kind: "limited"; readonly except: ReadonlySet<string> };

const FREE: HoldVerdict = { kind: "free" };
const NOTHING: ReadonlySet<string> = new Set();

/** Whether this entry is the one that tries a request, on endpoints of other software than `tested`. */
export type MayTry = (tested: ReadonlySet<string>) => boolean;

/** Keeps holds. */
export class HoldList {
  readonly #holds = new Map<ContentDigest, Hold>();
  #told = 0;

  /** Holds in force. */
  get size(): number {
    return [...this.#holds.values()].filter(({ released }) => !released).length;
  }

  has(content: ContentDigest): boolean {
    return this.#holds.get(content)?.released === false;
  }

  /** Whether a request may go to an endpoint. */
  judge(
    { content, caller }: RequestFingerprint,
    mayTry: MayTry,
    now: Instant,
  ): HoldVerdict {
    const hold = this.#holds.get(content);
    if (hold === undefined || hold.released || !isMeant(hold, caller)) {
      return FREE;
    }
    if (hold.mended.size > 0 && now < hold.until) {
      return { kind: "limited", except: hold.versions };
    }
    const tested = now >= hold.until ? NOTHING : hold.versions;
    const onTrial = now - (hold.triedAt ?? -Infinity) < TRIAL_MS;
    if (!onTrial && mayTry(tested)) {
      return { kind: "limited", except: tested };
    }
    const left = Math.max(TRIAL_MS, hold.until - now);
    return { kind: "held", wait: milliseconds(left) };
  }

  /**
   * An endpoint has answered a held request: on software that it had ended the hold is over, on other
   * software it goes on for the former alone. Returns whether it is over.
   */
  noteAnswered(content: ContentDigest, version: string): boolean {
    const hold = this.#holds.get(content);
    if (hold === undefined || hold.released) {
      return false;
    }
    if (hold.versions.has(version)) {
      return this.release(content);
    }
    hold.mended.add(version);
    hold.triedAt = undefined;
    return false;
  }

  /** A held request was sent as a trial. */
  noteTrial(content: ContentDigest, now: Instant): void {
    const hold = this.#holds.get(content);
    if (hold !== undefined) {
      hold.triedAt = now;
    }
  }

  /** Holds a request, or holds it for longer: it has ended endpoints again, or other callers send it too. */
  hold(
    { content, caller, service, versions }: HeldRequest,
    now: Instant,
  ): void {
    const known = this.#holds.get(content);
    const term = (known?.term ?? 0) + 1;
    const lasts = Math.min(MOST_HOLD_MS, FIRST_HOLD_MS * 2 ** (term - 1));
    const former = known?.released === false ? known.versions : [];
    this.#put({
      content,
      caller,
      service,
      versions: new Set([...former, ...versions]),
      mended: new Set(
        [...known?.mended ?? []].filter((version) =>
          !versions.includes(version)
        ),
      ),
      term,
      until: after(now, lasts),
      forgetAt: after(now, 2 * lasts),
      released: false,
      triedAt: undefined,
    });
  }

  /** What an end under a held request says: something new only after a trial, or of other software. */
  isNewEnd(
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
    const others = hold.caller !== undefined && caller !== hold.caller;
    return at >= hold.until || !hold.versions.has(version) || others;
  }

  /** Ends a hold: an endpoint has answered the request, or an operator says so. */
  release(content: ContentDigest): boolean {
    const hold = this.#holds.get(content);
    if (hold === undefined || hold.released) {
      return false;
    }
    hold.released = true;
    return true;
  }

  /** Takes another entry's word; returns whether it was news. */
  learn(notice: HoldNotice, now: Instant): boolean {
    const known = this.#holds.get(notice.content);
    if (known !== undefined && notice.term === known.term) {
      notice.versions.forEach((version) => known.versions.add(version));
      notice.mended.forEach((version) => known.mended.add(version));
      known.caller = notice.caller === known.caller ? known.caller : undefined;
      return notice.released && this.release(notice.content);
    }
    if (notice.term < (known?.term ?? 0)) {
      return false;
    }
    const until = after(now, notice.remaining);
    this.#put({
      ...notice,
      versions: new Set(notice.versions),
      mended: new Set(notice.mended),
      until,
      forgetAt: after(until, FIRST_HOLD_MS),
      triedAt: undefined,
    });
    return true;
  }

  /** A hold as it is told. */
  notice(content: ContentDigest, now: Instant): HoldNotice | undefined {
    const hold = this.#holds.get(content);
    return hold === undefined ? undefined : noticeOf(hold, now);
  }

  /** Holds for the next message, each in turn. */
  next(now: Instant): HoldNotice[] {
    const all = [...this.#holds.values()];
    const count = Math.min(HOLDS_PER_MESSAGE, all.length);
    const from = this.#told;
    this.#told += count;
    return Array.from(
      { length: count },
      (_, index) => noticeOf(all[(from + index) % all.length]!, now),
    );
  }

  /** Holds in force, for operators. */
  list(now: Instant): HoldNotice[] {
    return [...this.#holds.values()].filter(({ released }) => !released)
      .map((hold) => noticeOf(hold, now));
  }

  /** Forgets what nobody sent for long after its time; returns holds that ended so. */
  forget(now: Instant): ContentDigest[] {
    const over = [...this.#holds.values()].filter(({ forgetAt }) =>
      now >= forgetAt
    );
    over.forEach(({ content }) => this.#holds.delete(content));
    return over.filter(({ released }) => !released).map(({ content }) =>
      content
    );
  }

  #put(hold: Hold): void {
    this.#holds.set(hold.content, hold);
    if (this.#holds.size > MOST_HOLDS) {
      const [first] = [...this.#holds.values()].sort((left, right) =>
        left.until - right.until
      );
      this.#holds.delete(first!.content);
    }
  }
}

function isMeant(
  { caller }: Hold,
  asking: RequestFingerprint["caller"],
): boolean {
  return caller === undefined || caller === asking;
}

function noticeOf(hold: Hold, now: Instant): HoldNotice {
  const { until, versions, mended, ...rest } = hold;
  return {
    content: rest.content,
    caller: rest.caller,
    service: rest.service,
    versions: [...versions],
    mended: [...mended],
    term: rest.term,
    remaining: milliseconds(Math.max(0, until - now)),
    released: rest.released,
  };
}
