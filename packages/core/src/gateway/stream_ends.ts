/**
 * Counts how streams end, by route and length: whether long answers are served like short ones shows only
 * where complete ones are counted too.
 *
 * @module
 */
import type { RouteName } from "../ids/index.ts";

/** Routes with counters of their own. The others are counted together. */
const MAX_ROUTES = 64;
const OTHER_ROUTES = "other" as RouteName;

/** How many streams of one route ended within a range of lengths. */
export interface StreamEndCount {
  readonly route: RouteName;
  /** Most events of a stream in the range, a power of two. */
  readonly maxEvents: number;
  readonly complete: number;
  /** Streams that began and ended without their last event, at the length that they had reached. */
  readonly unfinished: number;
}

interface EndCounts {
  complete: number;
  unfinished: number;
}

/** The ends of streams since the start. */
export class StreamEnds {
  readonly #routes = new Map<RouteName, Map<number, EndCounts>>();

  record(
    route: RouteName,
    { events, complete }: { events: number; complete: boolean },
  ): void {
    if (events <= 0) {
      return;
    }
    const lengths = this.#lengthsOf(route);
    const maxEvents = 2 ** Math.ceil(Math.log2(events));
    let counts = lengths.get(maxEvents);
    if (counts === undefined) {
      counts = { complete: 0, unfinished: 0 };
      lengths.set(maxEvents, counts);
    }
    counts[complete ? "complete" : "unfinished"]++;
  }

  /** All counts, by route and length. */
  list(): StreamEndCount[] {
    return [...this.#routes].flatMap(([route, lengths]) =>
      [...lengths].sort(([left], [right]) => left - right)
        .map(([maxEvents, counts]) => ({ route, maxEvents, ...counts }))
    );
  }

  #lengthsOf(route: RouteName): Map<number, EndCounts> {
    const name = this.#routes.has(route) || this.#routes.size < MAX_ROUTES
      ? route
      : OTHER_ROUTES;
    let lengths = this.#routes.get(name);
    if (lengths === undefined) {
      lengths = new Map();
      this.#routes.set(name, lengths);
    }
    return lengths;
  }
}
