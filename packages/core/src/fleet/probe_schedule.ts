/**
 * Whom to ping next, and which pings are still unanswered.
 *
 * @module
 */
import {
  type Incarnation,
  type Instant,
  type Randomness,
  sample,
} from "../ids/index.ts";
import type { ListenedTimeView } from "../listening/index.ts";
import type { FleetMember } from "./membership_list.ts";

/** A ping that was not answered so long is repeated through others: twice the longest round trip. */
export const DIRECT_TIMEOUT_MS = 400;
/** Without any answer by then the target is suspect. */
export const PROBE_TIMEOUT_MS = 1_000;

/** A ping that waits for its answer. */
export interface Probe {
  readonly sequence: number;
  readonly target: FleetMember;
  readonly sentAt: Instant;
  indirect: boolean;
}

/** Goes round the members in a shuffled order, so that each is pinged within two rounds. */
export class ProbeSchedule {
  readonly #random: Randomness;
  readonly #listened: ListenedTimeView;
  readonly #open = new Map<number, Probe>();
  #round: Incarnation[] = [];
  #sequence = 0;

  constructor(random: Randomness, listened: ListenedTimeView) {
    this.#random = random;
    this.#listened = listened;
  }

  /** The next members to ping, none twice. */
  next(members: readonly FleetMember[], count: number): FleetMember[] {
    const byIncarnation = new Map(
      members.map((member) => [member.record.incarnation, member]),
    );
    const picked: FleetMember[] = [];
    const wanted = Math.min(count, members.length);
    while (picked.length < wanted) {
      if (this.#round.length === 0) {
        this.#round = sample(
          [...byIncarnation.keys()],
          byIncarnation.size,
          this.#random,
        );
      }
      const member = byIncarnation.get(this.#round.pop()!);
      if (member !== undefined && !picked.includes(member)) {
        picked.push(member);
      }
    }
    return picked;
  }

  /** Opens a probe of the target. */
  open(target: FleetMember, now: Instant): number {
    this.#sequence++;
    this.#open.set(this.#sequence, {
      sequence: this.#sequence,
      target,
      sentAt: now,
      indirect: false,
    });
    return this.#sequence;
  }

  /** A number for a message that opens no probe. */
  number(): number {
    this.#sequence++;
    return this.#sequence;
  }

  close(sequence: number): void {
    this.#open.delete(sequence);
  }

  /** Closes all probes of a member that was heard. */
  heard(incarnation: Incarnation): void {
    for (const [sequence, { target }] of this.#open) {
      if (target.record.incarnation === incarnation) {
        this.#open.delete(sequence);
      }
    }
  }

  /** Probes that shall now go through others. */
  takeIndirect(now: Instant): Probe[] {
    const due = [...this.#open.values()].filter((probe) =>
      !probe.indirect && this.#hasWaited(probe, DIRECT_TIMEOUT_MS, now)
    );
    due.forEach((probe) => probe.indirect = true);
    return due;
  }

  /** Probes that failed. */
  takeFailed(now: Instant): Probe[] {
    const failed = [...this.#open.values()].filter((probe) =>
      this.#hasWaited(probe, PROBE_TIMEOUT_MS, now)
    );
    failed.forEach((probe) => this.#open.delete(probe.sequence));
    return failed;
  }

  /** Drops all open probes: after a pause their answers may have been lost here. */
  clear(): void {
    this.#open.clear();
  }

  /** An answer that came while this process stood still is yet to be read. */
  #hasWaited({ sentAt }: Probe, time: number, now: Instant): boolean {
    return this.#listened.since(sentAt, now) >= time;
  }
}
