/**
 * Relays the tokens of an engine's or peer's frame stream to the caller.
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

const HTTP_OK = 200;

/** Parameters of a relay. */
export interface RelayOptions {
  readonly attempt: Attempt;
  readonly caller: Caller;
  readonly emit: (event: CoreEvent) => void;
}

/** Relays until the end mark, the end of the body or an invalid frame, and returns how the attempt ended. */
export async function relayFrames(
  body: AsyncIterable<Uint8Array>,
  relay: RelayOptions,
): Promise<AttemptEnd> {
  const frames = relay.caller.tokens.begin(relay.attempt.id);
  const reader = new FrameReader();
  try {
    const detail = await relayEvents(body, { ...relay, frames, reader });
    return detail === undefined ? { kind: "streamed" } : lost(detail);
  } catch (error) {
    return error instanceof AnswerTooLargeError
      ? { kind: "oversize", status: HTTP_OK }
      : lost((error as Error).message);
  }

  function lost(detail: string): AttemptEnd {
    const dropped = {
      frames: frames.bufferedCount,
      characters: reader.unfinishedCharacters,
    };
    return { kind: "lost", detail, dropped };
  }
}

/** Relays a stream and returns why it is broken, or `undefined` if it was complete. */
async function relayEvents(
  body: AsyncIterable<Uint8Array>,
  { attempt, caller, emit, frames, reader }: RelayOptions & {
    readonly frames: AttemptStream;
    readonly reader: FrameReader;
  },
): Promise<string | undefined> {
  const { tokens } = caller;
  let first = true;
  for await (const chunk of body) {
    const startAt = tokens.offset;
    const accepted = acceptEvents(frames, reader.feed(chunk));
    if (accepted.tokens.length > 0) {
      if (first) {
        first = false;
        emit({ kind: "firstToken", attempt: attempt.id });
      }
      emit({ kind: "progress", attempt: attempt.id, offset: tokens.offset });
      await caller.writeTokens(startAt, accepted.tokens);
    }
    if (accepted.broken !== undefined) {
      return accepted.broken;
    }
    if (frames.isWhole) {
      caller.endTokens();
      return undefined;
    }
  }
  return "The stream ended without its end mark";
}

/**
 * Accepts events up to the end mark or the first invalid event, exactly as if each had arrived separately:
 * the result must not depend on how the network splits the stream.
 */
function acceptEvents(
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
