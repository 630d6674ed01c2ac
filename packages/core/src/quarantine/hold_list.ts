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
import type { HoldNotice } from "./crash_report.ts";
import type { RequestFingerprint } from "./fingerprint.ts";

/**
 * First time that a request is held, doubled with each end that it brings after that, up to the most. Ten
 * minutes are shorter than it takes people to mend a service, and an endpoint that ends every ten
 * minutes, then every twenty, is one that callers hardly notice.
 */
const FIRST_HOLD_MS = 600_000;
const MOST_HOLD_MS = 14_400_000;
/** A trial has an outcome by then: its endpoint has answered, or its end is known everywhere. */
const TRIAL_MS = 12_000;
/** Each took three endpoints at least, so that many mean many ends; the one that ends first yields. */
const MOST_HOLDS = 256;
/** Holds told in one message. */
const HOLDS_PER_MESSAGE = 3;

/** One hold. */
interface Hold {
  readonly content: ContentDigest;
  caller: HoldNotice["caller"];
  readonly service: HoldNotice["service"];
  readonly versions: Set<string>;
  term: number;
  /** Until then nothing is tried but software that it has not ended yet. */
  until: Instant;
  /** Remembered so long, so that no late notice brings it back. */
  forgetAt: Instant;
  released: boolean;
  triedAt: Instant | undefined;
}

/** What becomes of a request. */
export type HoldVerdict =
  | { readonly kind: "free" }
  /** It goes to no endpoint; there is no use in asking again before `wait` is over. */
  | { readonly kind: "held"; readonly wait: Milliseconds }
  /** It may go to one endpoint, of software that it has not ended yet where that is said. */
  | { readonly kind: "trial"; readonly except: ReadonlySet<string> };

const FREE: HoldVerdict = { kind: "free" };
const NOTHING: ReadonlySet<string> = new Set();

/** What a verdict depends on beside the hold. */
export interface TrialFacts {
  /** Whether this entry is the one that tries. */
  readonly mayTry: () => boolean;
  /** Software of the endpoints that the request could go to. */
  readonly versions: () => Iterable<string>;
}

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
    facts: TrialFacts,
    now: Instant,
  ): HoldVerdict {
    const hold = this.#holds.get(content);
    if (hold === undefined || hold.released || !isMeant(hold, caller)) {
      return FREE;
    }
    const tested = now >= hold.until ? NOTHING : hold.versions;
    const onTrial = now - (hold.triedAt ?? -Infinity) < TRIAL_MS;
    const untested = (): boolean =>
      [...facts.versions()].some((version) => !tested.has(version));
    if (!onTrial && facts.mayTry() && untested()) {
      return { kind: "trial", except: tested };
    }
    const left = Math.max(TRIAL_MS, hold.until - now);
    return { kind: "held", wait: milliseconds(left) };
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
    { content, caller, service, versions }: Pick<
      HoldNotice,
      "content" | "caller" | "service" | "versions"
    >,
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
    { at, version, callers }: {
      at: Instant;
      version: string;
      callers: Iterable<HoldNotice["caller"]>;
    },
  ): boolean {
    const hold = this.#holds.get(content);
    if (hold === undefined || hold.released) {
      return false;
    }
    const others = hold.caller !== undefined &&
      [...callers].some((caller) => caller !== hold.caller);
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
      return notice.released && this.release(notice.content);
    }
    if (notice.term < (known?.term ?? 0)) {
      return false;
    }
    const until = after(now, notice.remaining);
    this.#put({
      ...notice,
      versions: new Set(notice.versions),
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
  const { content, caller, service, versions, term, until, released } = hold;
  return {
    content,
    caller,
    service,
    versions: [...versions],
    term,
    remaining: milliseconds(Math.max(0, until - now)),
    released,
  };
}
