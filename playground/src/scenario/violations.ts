/**
 * Invariants that must hold in every scenario. Violations are recorded when they occur.
 *
 * @module
 */

/** Time within which a leaving endpoint must stop getting new work. */
export const LEAVING_LIMIT_MS = 3_000;
/** How long after its deadline a caller may wait for a final answer; allows for ticks and network delay. */
export const ANSWER_SLACK_MS = 300;

/** Collects violations of the invariants. */
export class Violations {
  readonly found: string[] = [];

  /** Records a violation. */
  note(now: number, text: string): void {
    this.found.push(`${now} ms: ${text}`);
  }

  /** Checks that data of a customer bound to its home region did not reach another region. */
  checkHome(
    now: number,
    { what, customer, home, region }: Record<
      "what" | "customer" | "home" | "region",
      string
    >,
  ): void {
    if (home !== region) {
      this.note(
        now,
        `${what} of "${customer}", bound to ${home}, reached ${region}`,
      );
    }
  }

  /**
   * Checks that a leaving endpoint gets no new work from a zone that was told more than `LEAVING_LIMIT_MS`
   * ago that it is leaving.
   */
  checkLeaving(
    now: number,
    { id, leavingNoticeTimes, zone }: {
      id: string;
      leavingNoticeTimes: ReadonlyMap<string, number>;
      zone: string;
    },
  ): void {
    const since = leavingNoticeTimes.get(zone);
    if (since !== undefined && now - since > LEAVING_LIMIT_MS) {
      this.note(
        now,
        `endpoint ${id} got new work ${
          now - since
        } ms after ${zone} was told that it is leaving`,
      );
    }
  }

  checkRuns(now: number, key: string, runs: number): void {
    if (runs > 1) {
      this.note(now, `key ${key} ran ${runs} times`);
    }
  }

  checkRevision(
    now: number,
    { entry, before, next }: { entry: string; before: number; next: number },
  ): void {
    if (next < before) {
      this.note(
        now,
        `entry ${entry} went back from revision ${before} to ${next}`,
      );
    }
  }

  checkHops(
    now: number,
    { request, hops }: { request: string; hops: number },
  ): void {
    if (hops > 1) {
      this.note(now, `request ${request} was passed on ${hops} times`);
    }
  }
}
