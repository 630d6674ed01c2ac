/**
 * Subjects whose requests have lately gone to another region, where their shared part has been prefilled since.
 *
 * @module
 */
import { after, type Instant, type RegionId } from "../ids/index.ts";

/** Time after the last request within which a subject's requests go to the same region. */
const MOVE_LIFETIME_MS = 6_000;
/** Subjects remembered; the one used longest ago is forgotten first. */
const MAX_SUBJECTS = 4_096;

/** Remembers where subjects have moved. */
export class MovedSubjects {
  readonly #moves = new Map<string, { region: RegionId; until: Instant }>();

  /** The region that a subject has moved to, `undefined` if it hasn't moved lately. */
  regionOf(subject: string, now: Instant): RegionId | undefined {
    const move = this.#moves.get(subject);
    return move !== undefined && now < move.until ? move.region : undefined;
  }

  note(subject: string, region: RegionId, now: Instant): void {
    this.#moves.delete(subject);
    this.#moves.set(subject, { region, until: after(now, MOVE_LIFETIME_MS) });
    if (this.#moves.size > MAX_SUBJECTS) {
      const [oldest] = this.#moves.keys();
      this.#moves.delete(oldest!);
    }
  }
}
