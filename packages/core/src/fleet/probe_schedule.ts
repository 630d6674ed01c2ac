/**
 * Selects the members to ping next, and tracks unanswered pings.
 *
 * @module
 */
import {
  type Incarnation,
  type Instant,
  type Randomness,
  sample,
} from "../ids/index.ts";
import type { StallAdjustedClockView } from "../listening/index.ts";
import type { FleetMember } from "./membership_list.ts";

/** A ping without an answer is repeated through other members after this time: twice the longest round trip. */
export const DIRECT_PROBE_TIMEOUT_MS = 400;
/** A target without any answer, direct or indirect, becomes suspect after this time. */
export const PROBE_TIMEOUT_MS = 1_000;

/** A ping without an answer so far. */
export interface Probe {
  readonly sequence: number;
  readonly target: FleetMember;
  readonly sentAt: Instant;
  indirect: boolean;
}

/** Goes through the members in a shuffled order, so that each is pinged within two rounds. */
export class ProbeSchedule {
  readonly #random: Randomness;
  readonly #clock: StallAdjustedClockView;
  readonly #openProbes = new Map<number, Probe>();
  #remainingInRound: Incarnation[] = [];
  #sequence = 0;

  constructor(random: Randomness, clock: StallAdjustedClockView) {
    this.#random = random;
    this.#clock = clock;
  }

  /** Returns the next members to ping, without duplicates. */
  next(members: readonly FleetMember[], count: number): FleetMember[] {
    const byIncarnation = new Map(
      members.map((member) => [member.record.incarnation, member]),
    );
    const picked: FleetMember[] = [];
    const total = Math.min(count, members.length);
    while (picked.length < total) {
      if (this.#remainingInRound.length === 0) {
        this.#remainingInRound = sample(
          [...byIncarnation.keys()],
          byIncarnation.size,
          this.#random,
        );
      }
      const member = byIncarnation.get(this.#remainingInRound.pop()!);
      if (member !== undefined && !picked.includes(member)) {
        picked.push(member);
      }
    }
    return picked;
  }

  /** Starts tracking a probe of the target and returns its sequence number. */
  open(target: FleetMember, now: Instant): number {
    this.#sequence++;
    this.#openProbes.set(this.#sequence, {
      sequence: this.#sequence,
      target,
      sentAt: now,
      indirect: false,
    });
    return this.#sequence;
  }

  /** Returns a sequence number for a ping that is not tracked. */
  nextSequence(): number {
    this.#sequence++;
    return this.#sequence;
  }

  close(sequence: number): void {
    this.#openProbes.delete(sequence);
  }

  /** Closes all probes of a member that sent a message. */
  closeFor(incarnation: Incarnation): void {
    for (const [sequence, { target }] of this.#openProbes) {
      if (target.record.incarnation === incarnation) {
        this.#openProbes.delete(sequence);
      }
    }
  }

  /** Returns probes that are due to be repeated through other members, each once. */
  takeDueForIndirect(now: Instant): Probe[] {
    const due = [...this.#openProbes.values()].filter((probe) =>
      !probe.indirect && this.#hasWaitedFor(probe, DIRECT_PROBE_TIMEOUT_MS, now)
    );
    due.forEach((probe) => probe.indirect = true);
    return due;
  }

  /** Removes and returns probes that timed out. */
  takeTimedOut(now: Instant): Probe[] {
    const failed = [...this.#openProbes.values()].filter((probe) =>
      this.#hasWaitedFor(probe, PROBE_TIMEOUT_MS, now)
    );
    failed.forEach((probe) => this.#openProbes.delete(probe.sequence));
    return failed;
  }

  /** Drops all open probes: after a pause of this process their answers may have been lost. */
  clear(): void {
    this.#openProbes.clear();
  }

  /** Stalls of this process don't count: an answer that arrived during one is yet to be read. */
  #hasWaitedFor({ sentAt }: Probe, duration: number, now: Instant): boolean {
    return this.#clock.since(sentAt, now) >= duration;
  }
}
