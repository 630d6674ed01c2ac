/**
 * Assembles a stream of tokens from frames that may be late, duplicated, out of order, meant for another
 * request, or cut off.
 *
 * @module
 */

/** A frame as sent by engines and peers. */
export interface Frame {
  /** The attempt that the frame belongs to. */
  readonly id: string;
  /** Index of the token in the whole answer, from 0. */
  readonly offset: number;
  readonly token: string;
  /** Set on the end marker, whose offset is the number of tokens. */
  readonly done?: boolean;
}

/** Limit for the frames that are buffered while an earlier one is missing. */
export const MAX_BUFFERED_FRAMES = 256;

/** The result of accepting a frame. */
export type FrameResult =
  /** The next tokens in order. May be empty. */
  | {
    readonly kind: "tokens";
    readonly tokens: readonly string[];
    readonly ended: boolean;
  }
  /** The frame belongs to another attempt and was dropped. */
  | { readonly kind: "foreign" }
  /** The stream is inconsistent and cannot be completed. */
  | { readonly kind: "broken"; readonly detail: string };

/** The index of the next token to deliver and the current attempt. */
interface StreamProgress {
  nextOffset: number;
  attempt: AttemptStream | undefined;
}

/**
 * Delivers the tokens of one answer in order and once each, from any number of attempts.
 *
 * Only the index of the next token is carried over from one attempt to the next. Early tokens, the end marker
 * or late frames of a previous attempt would otherwise be mixed into those of the current one, giving an
 * answer that no engine produced.
 */
export class TokenStream {
  readonly #progress: StreamProgress;

  constructor(startAt = 0) {
    this.#progress = { nextOffset: startAt, attempt: undefined };
  }

  /** Index of the next token. */
  get offset(): number {
    return this.#progress.nextOffset;
  }

  /** Continues with another attempt at `offset`. Frames of the previous attempt are foreign from now on. */
  begin(id: string): AttemptStream {
    const attempt = new AttemptStream(id, this.#progress);
    this.#progress.attempt = attempt;
    return attempt;
  }
}

/**
 * The part of an answer that one attempt sends.
 *
 * A stream without an end marker is incomplete, even if its last frame is. Otherwise an engine that dies
 * between two frames would seem to have finished, and a user would read half an instruction. `isWhole` is
 * true only after the end marker and every token before it.
 */
export class AttemptStream {
  readonly #id: string;
  readonly #progress: StreamProgress;
  readonly #buffered = new Map<number, string>();
  #endOffset: number | undefined;
  #duplicates = 0;
  #foreign = 0;

  /** Called by `TokenStream.begin` only. */
  constructor(id: string, progress: StreamProgress) {
    this.#id = id;
    this.#progress = progress;
  }

  /** Whether this attempt is the current one and has completed the answer. */
  get isWhole(): boolean {
    return this.#isCurrent && this.#endOffset !== undefined &&
      this.#progress.nextOffset >= this.#endOffset;
  }

  /** Number of buffered tokens that wait for an earlier one. */
  get bufferedCount(): number {
    return this.#buffered.size;
  }

  get duplicates(): number {
    return this.#duplicates;
  }

  get foreign(): number {
    return this.#foreign;
  }

  accept(frame: Frame): FrameResult {
    if (frame.id !== this.#id || !this.#isCurrent) {
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

  get #isCurrent(): boolean {
    return this.#progress.attempt === this;
  }

  #acceptEnd(offset: number): FrameResult {
    const hasLaterTokens = [...this.#buffered.keys()].some((buffered) =>
      buffered >= offset
    );
    if (
      offset < this.#progress.nextOffset || hasLaterTokens ||
      (this.#endOffset !== undefined && this.#endOffset !== offset)
    ) {
      return { kind: "broken", detail: "The end mark contradicts the tokens" };
    }
    this.#endOffset = offset;
    return { kind: "tokens", tokens: [], ended: this.isWhole };
  }

  #acceptToken({ offset, token }: Frame): FrameResult {
    if (this.#endOffset !== undefined && offset >= this.#endOffset) {
      return { kind: "broken", detail: "A token came after the end" };
    }
    if (offset < this.#progress.nextOffset || this.#buffered.has(offset)) {
      this.#duplicates++;
      return { kind: "tokens", tokens: [], ended: this.isWhole };
    }
    this.#buffered.set(offset, token);
    if (this.#buffered.size > MAX_BUFFERED_FRAMES) {
      return {
        kind: "broken",
        detail: "Too many tokens came before a missing one",
      };
    }
    return { kind: "tokens", tokens: this.#takeInOrder(), ended: this.isWhole };
  }

  #takeInOrder(): string[] {
    const tokens: string[] = [];
    const progress = this.#progress;
    while (this.#buffered.has(progress.nextOffset)) {
      tokens.push(this.#buffered.get(progress.nextOffset)!);
      this.#buffered.delete(progress.nextOffset);
      progress.nextOffset++;
    }
    return tokens;
  }
}

/** Parses a frame from JSON. Returns `undefined` if the text is not a valid frame. */
export function parseFrame(json: string): Frame | undefined {
  try {
    const value = JSON.parse(json) as Partial<Frame> | null;
    const hasRequiredFields = typeof value?.id === "string" &&
      typeof value.offset === "number";
    if (
      !hasRequiredFields ||
      (value.done !== true && typeof value.token !== "string")
    ) {
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
