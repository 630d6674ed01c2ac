/**
 * Attempts that were left after their answer had begun.
 *
 * @module
 */
import type {
  Attempt,
  AttemptEnd,
  DroppedPart,
  Target,
} from "../messages/index.ts";

/** Why a stream that has begun is to go on elsewhere. */
export interface Interruption {
  /** Endpoint, or entry. */
  readonly from: string;
  readonly leftFor: string;
  readonly dropped: DroppedPart | undefined;
}

/** What the end of an attempt interrupted; one that was never sent interrupts nothing. */
export function interruptionOf(
  { target }: Attempt,
  end: AttemptEnd,
): Interruption | undefined {
  const from = nameOf(target);
  switch (end.kind) {
    case "lost":
      return { from, leftFor: end.detail, dropped: end.dropped };
    case "answered": {
      const leftFor = `Answered ${end.answer.status} instead of a stream`;
      return { from, leftFor, dropped: undefined };
    }
    default:
      return undefined;
  }
}

/** Fields of the line about a stream that goes on at another target. */
export function describeGoingOn(
  { from, leftFor, dropped }: Interruption,
  { request, target, offset }: Pick<Attempt, "request" | "target"> & {
    readonly offset: number;
  },
): Record<string, unknown> {
  return {
    request,
    from,
    endpoint: nameOf(target),
    afterToken: offset,
    leftFor,
    droppedFrames: dropped?.frames ?? 0,
    droppedCharacters: dropped?.characters ?? 0,
  };
}

function nameOf(target: Target): string {
  return target.kind === "endpoint" ? target.endpoint : target.incarnation;
}
