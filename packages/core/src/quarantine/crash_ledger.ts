/**
 * The endpoints that ended lately and what was there, from all entries' reports.
 *
 * @module
 */
import { after, type ContentDigest, type Instant } from "../ids/index.ts";
import { type Culprit, findCulprits, type KnownEnd } from "./crash_evidence.ts";
import type { CrashReport, CrashVictim } from "./quarantine_messages.ts";

/**
 * Requests that crash endpoints may come minutes apart. An end that is older says little: whoever sends
 * the same for so long and is answered by nobody meets the next three.
 */
const END_LIFETIME_MS = 300_000;
/** Entries see one end within this time of each other: those of a dark endpoint count from their last word. */
const SAME_END_MS = 3_000;
/** Ends that are kept, and requests of each: some two megabytes when both are full. */
const MOST_ENDS = 128;
const MOST_VICTIMS = 256;
/**
 * A request that was lost with so many endpoints is tried by itself, and not sent on at once when it is
 * lost again: the next end may be the one that tells.
 */
const ENDS_OF_SUSPECT = 2;

/** Adds up ends. */
export class CrashLedger {
  readonly #ends = new Map<string, KnownEnd>();
  /** Ends by request: it is asked for with each send. */
  readonly #counts = new Map<ContentDigest, number>();

  /** Takes what an entry saw; several entries see the same end. */
  add(report: CrashReport, now: Instant): void {
    const end = this.#find(report, now);
    for (const victim of report.victims) {
      this.#addVictim(end, victim);
    }
    this.#forget(now);
  }

  /** An endpoint has answered a request: what ended before did not end of it. */
  answered(content: ContentDigest, now: Instant): void {
    if (!this.knows(content)) {
      return;
    }
    for (const { at, victims } of this.#ends.values()) {
      if (at <= now && victims.delete(content)) {
        this.#count(content, -1);
      }
    }
  }

  /** Whether an endpoint ended under a request that no endpoint has answered since. */
  knows(content: ContentDigest): boolean {
    return this.#counts.has(content);
  }

  /** Whether a request was at so many ends that it is tried by itself. */
  suspects(content: ContentDigest): boolean {
    return this.endsOf(content) >= ENDS_OF_SUSPECT;
  }

  /** Endpoints that ended under a request since one answered it. */
  endsOf(content: ContentDigest): number {
    return this.#counts.get(content) ?? 0;
  }

  /** Who ended what is not explained by a request that is held already. */
  culprits(isHeld: (content: ContentDigest) => boolean): Culprit[] {
    const open = [...this.#ends.values()].filter(({ victims }) =>
      ![...victims.keys()].some(isHeld)
    );
    return findCulprits(open);
  }

  /** The end that others told of, or a new one: an endpoint that tells no life may end again under its id. */
  #find(report: CrashReport, now: Instant): KnownEnd {
    const found = endOf(report, now);
    for (let number = 0;; number++) {
      const key = `${report.endpoint} ${report.life ?? ""} ${number}`;
      const known = this.#ends.get(key);
      if (known === undefined) {
        this.#ends.set(key, found);
        return found;
      }
      if (Math.abs(known.at - found.at) < SAME_END_MS) {
        return known;
      }
    }
  }

  #addVictim(
    { victims, trials }: KnownEnd,
    { content, caller, exposure, trial }: CrashVictim,
  ): void {
    const known = victims.get(content);
    if (known === undefined && victims.size >= MOST_VICTIMS) {
      return;
    }
    if (known === undefined) {
      this.#count(content, 1);
    }
    const callers = known ?? new Map();
    callers.set(caller, Math.max(exposure, callers.get(caller) ?? 0));
    victims.set(content, callers);
    if (trial) {
      trials.add(content);
    }
  }

  #count(content: ContentDigest, change: 1 | -1): void {
    const count = this.endsOf(content) + change;
    if (count > 0) {
      this.#counts.set(content, count);
    } else {
      this.#counts.delete(content);
    }
  }

  #forget(now: Instant): void {
    for (const [key, { at, victims }] of this.#ends) {
      if (now - at > END_LIFETIME_MS || this.#ends.size > MOST_ENDS) {
        this.#ends.delete(key);
        [...victims.keys()].forEach((content) => this.#count(content, -1));
      }
    }
  }
}

function endOf(report: CrashReport, now: Instant): KnownEnd {
  const { service, zone, softwareVersion, others, age } = report;
  return {
    service,
    zone,
    softwareVersion,
    others,
    at: after(now, -age),
    victims: new Map(),
    trials: new Set(),
  };
}
