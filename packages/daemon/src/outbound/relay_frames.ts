/**
 * Reads an engine's or a peer's stream of frames and hands the tokens to the caller.
 *
 * @module
 */
import type {
  Attempt,
  AttemptEnd,
  AttemptStream,
  CoreEvent,
} from "@sassafrasstep/core";
import { AnswerTooLargeError, type Caller } from "../callers/index.ts";
import { type FrameEvent, FrameReader } from "./frame_reader.ts";

const OK = 200;

/** What a relay works with. */
export interface Relay {
  readonly attempt: Attempt;
  readonly caller: Caller;
  readonly tell: (event: CoreEvent) => void;
}

/** Relays until the end mark, a break or a frame that makes no sense. */
export async function relayFrames(
  body: AsyncIterable<Uint8Array>,
  relay: Relay,
): Promise<AttemptEnd> {
  const frames = relay.caller.tokens.begin(relay.attempt.id);
  const reader = new FrameReader();
  try {
    const detail = await relayEvents(body, { ...relay, frames, reader });
    return detail === undefined ? { kind: "streamed" } : lost(detail);
  } catch (error) {
    return error instanceof AnswerTooLargeError
      ? { kind: "oversize", status: OK }
      : lost((error as Error).message);
  }

  function lost(detail: string): AttemptEnd {
    const dropped = {
      frames: frames.bufferedCount,
      characters: reader.unfinished,
    };
    return { kind: "lost", detail, dropped };
  }
}

/** What is wrong with the stream, `undefined` where it was whole. */
async function relayEvents(
  body: AsyncIterable<Uint8Array>,
  { attempt, caller, tell, frames, reader }: Relay & {
    readonly frames: AttemptStream;
    readonly reader: FrameReader;
  },
): Promise<string | undefined> {
  const { tokens } = caller;
  let first = true;
  for await (const chunk of body) {
    const startAt = tokens.offset;
    const taken = takeEvents(frames, reader.feed(chunk));
    if (taken.tokens.length > 0) {
      if (first) {
        first = false;
        tell({ kind: "firstToken", attempt: attempt.id });
      }
      tell({ kind: "progress", attempt: attempt.id, offset: tokens.offset });
      await caller.writeTokens(startAt, taken.tokens);
    }
    if (taken.broken !== undefined) {
      return taken.broken;
    }
    if (frames.isWhole) {
      caller.endTokens();
      return undefined;
    }
  }
  return "The stream ended without its end mark";
}

/**
 * Takes events up to the end or the first that makes no sense, as if each had come by itself: what a
 * stream is must not depend on how the network cuts its bytes.
 */
function takeEvents(
  frames: AttemptStream,
  events: readonly FrameEvent[],
): { tokens: readonly string[]; broken: string | undefined } {
  const tokens: string[] = [];
  for (const event of events) {
    const accepted = event.kind === "frame"
      ? frames.accept(event.frame)
      : event;
    if (accepted.kind === "broken") {
      return { tokens, broken: accepted.detail };
    }
    if (accepted.kind === "tokens") {
      tokens.push(...accepted.tokens);
    }
    if (frames.isWhole) {
      break;
    }
  }
  return { tokens, broken: undefined };
}
