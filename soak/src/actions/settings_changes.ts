/**
 * Changes the settings of entries with SIGHUP, and checks by the lists of their directories which are in force.
 *
 * @module
 */
import { setTimeout as pause } from "node:timers/promises";
import type { ProcessEntry } from "@sassafrasstep/playground/bytes";
import type { DirectoryAnswer } from "./directory_watch.ts";
import type { Violation } from "../promises.ts";

const MAX_RELOAD_MS = 4_000;
/** Lifetime of lists, in seconds, that entries state at most, and by their first settings. */
const FIRST_LIFETIME_S = 1;

/** New settings of an entry. */
export interface SettingsChange {
  readonly entry: number;
  readonly lifetimeS: number;
  /** Whether the file has a key that is none, so that the former settings have to stay. */
  readonly faulty: boolean;
}

/** Settings that an entry was told of. Faulty ones are never among them. */
export interface AppliedSettings {
  readonly entry: number;
  readonly lifetimeS: number;
  readonly at: number;
}

/** Changes settings and remembers them. */
export class SettingsChanges {
  readonly applied: AppliedSettings[] = [];
  readonly #entries: readonly ProcessEntry[];

  constructor(entries: readonly ProcessEntry[]) {
    this.#entries = entries;
  }

  /** Plays a change; faulty settings are replaced by the former ones after a time. */
  async play(change: SettingsChange, forMs: number): Promise<void> {
    const { entry: index, lifetimeS, faulty } = change;
    const entry = this.#entries[index]!;
    this.#write(entry, change);
    entry.signal("SIGHUP");
    if (!faulty) {
      this.applied.push({ entry: index, lifetimeS, at: performance.now() });
      return;
    }
    await pause(forMs);
    const former = this.applied.findLast((each) => each.entry === index);
    this.#write(entry, {
      lifetimeS: former?.lifetimeS ?? FIRST_LIFETIME_S,
      faulty: false,
    });
    entry.signal("SIGHUP");
  }

  #write(
    entry: ProcessEntry,
    { lifetimeS, faulty }: Pick<SettingsChange, "lifetimeS" | "faulty">,
  ): void {
    const lines = [
      "[bounds]",
      `list_lifetime_s = ${lifetimeS}`,
      ...faulty ? ["no_such_key = 1"] : [],
    ];
    entry.changeSettings((text) => text.replace("[bounds]", lines.join("\n")));
  }
}

/** Finds lists of undisturbed entries with a lifetime that their settings no longer state, or never stated. */
export function findOldSettings(
  answers: readonly DirectoryAnswer[],
  { applied, isDisturbed }: {
    applied: readonly AppliedSettings[];
    isDisturbed: (entry: string, from: number, to: number) => boolean;
  },
): Violation[] {
  return answers.flatMap(({ entry, askedAt, answeredAt, lifetimeS }) => {
    const name = `entry-${entry + 1}`;
    const own = [
      { lifetimeS: FIRST_LIFETIME_S, at: 0 },
      ...applied.filter((each) => each.entry === entry),
    ];
    const allowed = own.filter(({ at }, index) =>
      at <= answeredAt &&
      (own[index + 1]?.at ?? Infinity) > askedAt - MAX_RELOAD_MS
    );
    return allowed.some((each) => each.lifetimeS === lifetimeS) ||
        isDisturbed(name, askedAt, answeredAt)
      ? []
      : [{
        call: name,
        what: `stated ${lifetimeS} s by settings that are not in force`,
      }];
  });
}
