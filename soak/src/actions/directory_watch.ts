/**
 * Asks the directories of all entries again and again, and checks that they name nobody who is gone.
 *
 * @module
 */
import { setTimeout as pause } from "node:timers/promises";
import { API_PATHS } from "@sassafrasstep/platform";
import type { ProcessEntry } from "@sassafrasstep/playground/bytes";
import type { Violation } from "../promises.ts";

const POLL_INTERVAL_MS = 400;
const ANSWER_TIMEOUT_MS = 1_000;
const OK = 200;
/** An entry that ended longer ago is no longer named. */
const MAX_NAMED_MS = 5_000;

/** A span in which the process of an entry did not run. Entries are indexes. */
export interface Absence {
  readonly entry: number;
  readonly from: number;
  /** When a new process started, `Infinity` before. */
  to: number;
}

/** An answer of a directory. */
export interface DirectoryAnswer {
  readonly entry: number;
  readonly askedAt: number;
  readonly answeredAt: number;
  readonly addresses: readonly string[];
  readonly lifetimeS: number;
}

/** Collects the answers of all directories. */
export class DirectoryWatch {
  readonly answers: DirectoryAnswer[] = [];
  /** Number of questions. */
  asked = 0;
  readonly #entries: readonly ProcessEntry[];
  readonly #regions: readonly string[];
  readonly #stopped = new AbortController();

  constructor(entries: readonly ProcessEntry[], regions: readonly string[]) {
    this.#entries = entries;
    this.#regions = regions;
  }

  /** Asks until `stop` is called. */
  async run(): Promise<void> {
    const { signal } = this.#stopped;
    while (!signal.aborted) {
      this.#entries.forEach((_, index) => void this.#ask(index));
      await pause(POLL_INTERVAL_MS, undefined, { signal }).catch(() => {});
    }
  }

  stop(): void {
    this.#stopped.abort();
  }

  async #ask(entry: number): Promise<void> {
    const region = this.#regions[entry]!;
    const url = `http://${
      this.#entries[entry]!.directory
    }${API_PATHS.resolve}?name=kiosk.example&region=${region}&zone=${region}-1`;
    const askedAt = performance.now();
    this.asked++;
    // An entry that is paused or gone answers nothing.
    const answer = await fetch(url, {
      signal: AbortSignal.timeout(ANSWER_TIMEOUT_MS),
    }).catch(() => undefined);
    const text = await answer?.text().catch(() => undefined);
    if (answer?.status === OK && text !== undefined) {
      const { addresses, lifetime_s: lifetimeS } = JSON.parse(text);
      const answeredAt = performance.now();
      this.answers.push({
        entry,
        askedAt,
        answeredAt,
        addresses,
        lifetimeS,
      });
    }
  }
}

/** Finds answers of undisturbed entries that name, beside a running entry, one that is gone. */
export function findDeadNamed(
  { answers, entries, absences, isDisturbed }: {
    answers: readonly DirectoryAnswer[];
    entries: readonly ProcessEntry[];
    absences: readonly Absence[];
    isDisturbed: (entry: string, from: number, to: number) => boolean;
  },
): Violation[] {
  const isGone = (entry: number, at: number, forMs: number): boolean =>
    absences.some((absence) =>
      absence.entry === entry && absence.from + forMs < at && at < absence.to
    );
  const indexes = new Map(
    entries.map(({ callers }, index) => [callers, index]),
  );
  return answers.flatMap(({ entry, askedAt, addresses }) => {
    const name = `entry-${entry + 1}`;
    const named = addresses.map((address) => indexes.get(address) ?? -1);
    const dead = named.filter((each) => isGone(each, askedAt, MAX_NAMED_MS));
    const hasRunning = named.some((each) => !isGone(each, askedAt, 0));
    return dead.length > 0 && hasRunning &&
        !isDisturbed(name, askedAt, askedAt)
      ? [{
        call: name,
        what: `its directory named entry-${dead[0]! + 1}, which was gone`,
      }]
      : [];
  });
}
