/**
 * Counts how requests with prompts end, by route and size: whether large ones are served like small ones shows only
 * where served ones are counted too.
 *
 * @module
 */
import type { Instant, RouteName } from "../ids/index.ts";

/** Routes with counters of their own. The others are counted together. */
const MAX_ROUTES = 64;
const OTHER_ROUTES = "other" as RouteName;
/** Least time between two log lines. */
const LOG_PERIOD_MS = 10_000;

/** What a size is measured in: tokens of the prompt, or events of the answer that arrived. */
export type SizeMeasure = "prompt" | "events";

/** How a request ended for its caller. */
export type SizedEnd =
  | "complete"
  /** The answer had begun. */
  | "unfinished"
  /** No answer had begun: refused, or left by its caller. */
  | "unserved";

/** How many requests of one route and range of sizes ended in each way. */
export type SizeOutcome =
  & {
    readonly route: RouteName;
    readonly measure: SizeMeasure;
    /** Upper end of the range, a power of two. */
    readonly upTo: number;
  }
  & Readonly<Record<SizedEnd, number>>;

type EndCounts = Record<SizedEnd, number>;

/** The ends of requests with prompts since the start. */
export class SizeOutcomes {
  readonly #routes = new Map<RouteName, Map<string, EndCounts>>();
  #changed = false;
  #loggedAt: Instant | undefined;

  record(
    route: RouteName,
    end: SizedEnd,
    { promptTokens, events }: { promptTokens: number; events: number },
  ): void {
    this.#changed = true;
    const sizes = this.#sizesOf(route);
    count(sizes, `prompt ${rangeOf(promptTokens)}`, end);
    if (end !== "unserved") {
      count(sizes, `events ${rangeOf(events)}`, end);
    }
  }

  /** All counts, by route, measure and size. */
  list(): SizeOutcome[] {
    return [...this.#routes].flatMap(([route, sizes]) =>
      [...sizes].map(([key, counts]) => {
        const [measure, upTo] = key.split(" ");
        return {
          route,
          measure: measure as SizeMeasure,
          upTo: Number(upTo),
          ...counts,
        };
      }).sort((left, right) =>
        left.measure.localeCompare(right.measure) || left.upTo - right.upTo
      )
    );
  }

  /** Returns the counts if a log line is due: they have changed, and the last line is old enough. */
  takeLogged(now: Instant): SizeOutcome[] | undefined {
    this.#loggedAt ??= now;
    if (!this.#changed || now - this.#loggedAt < LOG_PERIOD_MS) {
      return undefined;
    }
    this.#changed = false;
    this.#loggedAt = now;
    return this.list();
  }

  #sizesOf(route: RouteName): Map<string, EndCounts> {
    const name = this.#routes.has(route) || this.#routes.size < MAX_ROUTES
      ? route
      : OTHER_ROUTES;
    let sizes = this.#routes.get(name);
    if (sizes === undefined) {
      sizes = new Map();
      this.#routes.set(name, sizes);
    }
    return sizes;
  }
}

function rangeOf(size: number): number {
  return 2 ** Math.ceil(Math.log2(Math.max(1, size)));
}

function count(
  sizes: Map<string, EndCounts>,
  key: string,
  end: SizedEnd,
): void {
  let counts = sizes.get(key);
  if (counts === undefined) {
    counts = { complete: 0, unfinished: 0, unserved: 0 };
    sizes.set(key, counts);
  }
  counts[end]++;
}
