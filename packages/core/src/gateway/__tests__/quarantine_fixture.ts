import {
  type CallerDigest,
  type ContentDigest,
  type Incarnation,
  instant,
  milliseconds,
  type RequestFingerprint,
  StallAdjustedClock,
} from "../../index.ts";
import { QuarantineController } from "../../quarantine/index.ts";

/** A request's fingerprint, by content and caller. */
export function fingerprint(
  content: string,
  caller = "caller",
): RequestFingerprint {
  return {
    content: content as ContentDigest,
    caller: caller as CallerDigest,
  };
}

/** The quarantine of a single entry, without any history. */
export function emptyQuarantine(): QuarantineController {
  return new QuarantineController({
    self: { incarnation: "i" as Incarnation },
    endpoints: () => new Map(),
    servingEntries: () => ["i" as Incarnation],
    clock: new StallAdjustedClock(instant(0)),
    claimDelay: milliseconds(200),
    noteOnTrial: () => {},
    peerCount: () => 8,
    probePort: () => {},
    send: () => {},
    log: () => {},
  });
}
