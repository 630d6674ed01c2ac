/**
 * The machine of an endpoint, which other work slows down at times.
 *
 * @module
 */
import type { Randomness } from "@sassafrasstep/core";
import {
  type Line,
  option,
  parseTime,
  ScriptError,
} from "../scenario/script.ts";

/** Contention of a machine without other work, as reported by endpoints. */
const USUAL_CONTENTION = 100;
/** Each period lasts its mean, plus or minus up to this share of it. */
const PERIOD_SPREAD = 0.5;

/** How other work slows machines down. */
export interface ContentionParameters {
  /** Share of the time in which the machine is slowed down. */
  readonly share: number;
  /** Duration of work on a slowed-down machine, relative to the usual one. */
  readonly factor: number;
  /** Mean time until it is drawn again whether the machine is slowed down. */
  readonly periodMs: number;
}

/** Reads the option `contention SHARE:FACTOR:PERIOD`; `undefined` without it. */
export function readContention(line: Line): ContentionParameters | undefined {
  const text = option(line, "contention", "");
  if (text === "") {
    return undefined;
  }
  const [share, factor, period] = text.split(":");
  const periodMs = parseTime(line, period);
  if (!(Number(share) >= 0 && Number(factor) > 0 && periodMs > 0)) {
    throw new ScriptError(line, "a contention such as 0.15:2.5:600ms");
  }
  return { share: Number(share), factor: Number(factor), periodMs };
}

/** A machine that is slowed down in periods drawn from seeded randomness. */
export class SharedMachine {
  readonly #parameters: ContentionParameters;
  readonly #random: Randomness;
  #slowdown = 1;
  #periodEndsAt = 0;

  constructor(parameters: ContentionParameters, random: Randomness) {
    this.#parameters = parameters;
    this.#random = random;
  }

  /** Duration of work at present, relative to the usual one. The time must not go backwards. */
  slowdown(now: number): number {
    const { share, factor, periodMs } = this.#parameters;
    while (now >= this.#periodEndsAt) {
      this.#slowdown = this.#random.next() < share ? factor : 1;
      this.#periodEndsAt += periodMs *
        (1 - PERIOD_SPREAD + 2 * PERIOD_SPREAD * this.#random.next());
    }
    return this.#slowdown;
  }

  /** The contention that its endpoint reports, in percent. */
  contention(now: number): number {
    return Math.round(USUAL_CONTENTION * this.slowdown(now));
  }
}
