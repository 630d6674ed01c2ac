/**
 * Interruptions: attempts that failed after their stream had started.
 *
 * @module
 */
import type {
  Attempt,
  AttemptEnd,
  AttemptTarget,
  DiscardedPart,
} from "../messages/index.ts";

/** Why a stream that has started must be resumed at another target. */
export interface Interruption {
  /** Id of the endpoint, or incarnation of the entry, at which the stream was interrupted. */
  readonly from: string;
  readonly leftFor: string;
  readonly dropped: DiscardedPart | undefined;
}

/** Returns the interruption caused by the end of an attempt, `undefined` for an attempt that was not sent. */
export function interruptionOf(
  { target }: Attempt,
  end: AttemptEnd,
): Interruption | undefined {
  const from = targetName(target);
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

/** Returns the log fields for a stream that is resumed at another target. */
export function resumptionFields(
  { from, leftFor, dropped }: Interruption,
  { request, target, offset }: Pick<Attempt, "request" | "target"> & {
    readonly offset: number;
  },
): Record<string, unknown> {
  return {
    request,
    from,
    endpoint: targetName(target),
    afterToken: offset,
    leftFor,
    droppedFrames: dropped?.frames ?? 0,
    droppedCharacters: dropped?.characters ?? 0,
  };
}

function targetName(target: AttemptTarget): string {
  return target.kind === "endpoint" ? target.endpoint : target.incarnation;
}
