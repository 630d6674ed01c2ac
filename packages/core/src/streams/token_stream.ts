/**
 * Puts a stream of tokens together from frames that may be late, doubled, out of order, another
 * request's, or cut off.
 *
 * @module
 */

/** One frame as engines and peers send it. */
export interface Frame {
  /** Attempt that it answers. */
  readonly id: string;
  /** Number of its token in the whole answer, from 0. */
  readonly offset: number;
  readonly token: string;
  /** Set on the end mark, whose offset is the number of tokens. */
  readonly done?: boolean;
}

/** Frames held back while an earlier one is missing. */
export const MAX_HELD_FRAMES = 256;

/** What a frame brought. */
export type Accepted =
  /** Tokens that are next in order. May be empty. */
  | {
    readonly kind: "tokens";
    readonly tokens: readonly string[];
    readonly ended: boolean;
  }
  /** Another attempt's frame: dropped. */
  | { readonly kind: "foreign" }
  /** Nothing sensible can come of the stream. */
  | { readonly kind: "broken"; readonly detail: string };

/** How many tokens of an answer its caller has, and which attempt goes on. */
interface Progress {
  next: number;
  attempt: AttemptFrames | undefined;
}

/**
 * One answer's tokens, in order and each once, whichever attempts they come from.
 *
 * Nothing but the number of the next token outlives an attempt: what one has sent ahead, its end mark and
 * its late frames would otherwise stand among those of the next, in an answer that no engine made.
 */
export class TokenStream {
  readonly #progress: Progress;

  constructor(startAt = 0) {
    this.#progress = { next: startAt, attempt: undefined };
  }

  /** Number of the next token. */
  get offset(): number {
    return this.#progress.next;
  }

  /** Goes on with another attempt at `offset`; frames of the one before are foreign from now on. */
  begin(id: string): AttemptFrames {
    const attempt = new AttemptFrames(id, this.#progress);
    this.#progress.attempt = attempt;
    return attempt;
  }
}

/**
 * What one attempt has sent of an answer.
 *
 * A stream that ends without its end mark is not whole, however tidy its last frame looks: an engine
 * that dies between two frames would pass for one that had finished, and a visitor would read half an
 * instruction. `isWhole` is true only after the end mark and every token before it.
 */
export class AttemptFrames {
  readonly #id: string;
  readonly #progress: Progress;
  readonly #held = new Map<number, string>();
  #end: number | undefined;
  #duplicates = 0;
  #foreign = 0;

  /** Made by `begin` alone. */
  constructor(id: string, progress: Progress) {
    this.#id = id;
    this.#progress = progress;
  }

  /** Whether this attempt, still the one that goes on, has brought the answer to its end. */
  get isWhole(): boolean {
    return this.#goesOn && this.#end !== undefined &&
      this.#progress.next >= this.#end;
  }

  /** Tokens that came before a missing one. */
  get held(): number {
    return this.#held.size;
  }

  get duplicates(): number {
    return this.#duplicates;
  }

  get foreign(): number {
    return this.#foreign;
  }

  accept(frame: Frame): Accepted {
    if (frame.id !== this.#id || !this.#goesOn) {
      this.#foreign++;
      return { kind: "foreign" };
    }
    if (!Number.isSafeInteger(frame.offset) || frame.offset < 0) {
      return { kind: "broken", detail: "A frame has no sensible offset" };
    }
    return frame.done === true
      ? this.#acceptEnd(frame.offset)
      : this.#acceptToken(frame);
  }

  get #goesOn(): boolean {
    return this.#progress.attempt === this;
  }

  #acceptEnd(offset: number): Accepted {
    const beyond = [...this.#held.keys()].some((held) => held >= offset);
    if (
      offset < this.#progress.next || beyond ||
      (this.#end !== undefined && this.#end !== offset)
    ) {
      return { kind: "broken", detail: "The end mark contradicts the tokens" };
    }
    this.#end = offset;
    return { kind: "tokens", tokens: [], ended: this.isWhole };
  }

  #acceptToken({ offset, token }: Frame): Accepted {
    if (this.#end !== undefined && offset >= this.#end) {
      return { kind: "broken", detail: "A token came after the end" };
    }
    if (offset < this.#progress.next || this.#held.has(offset)) {
      this.#duplicates++;
      return { kind: "tokens", tokens: [], ended: this.isWhole };
    }
    this.#held.set(offset, token);
    if (this.#held.size > MAX_HELD_FRAMES) {
      return {
        kind: "broken",
        detail: "Too many tokens came before a missing one",
      };
    }
    return { kind: "tokens", tokens: this.#release(), ended: this.isWhole };
  }

  #release(): string[] {
    const tokens: string[] = [];
    const progress = this.#progress;
    while (this.#held.has(progress.next)) {
      tokens.push(this.#held.get(progress.next)!);
      this.#held.delete(progress.next);
      progress.next++;
    }
    return tokens;
  }
}

/** Reads one frame from JSON; `undefined` where it is not one. */
export function parseFrame(json: string): Frame | undefined {
  try {
    const value = JSON.parse(json) as Partial<Frame> | null;
    const typed = typeof value?.id === "string" &&
      typeof value.offset === "number";
    if (!typed || (value.done !== true && typeof value.token !== "string")) {
      return undefined;
    }
    return {
      id: value.id!,
      offset: value.offset!,
      token: value.token ?? "",
      ...(value.done === true ? { done: true } : {}),
    };
  } catch {
    return undefined;
  }
}
