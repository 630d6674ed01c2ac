/**
 * What began a stream, and the key under which entries keep it.
 *
 * @module
 */
import { createHash } from "node:crypto";
import type { CallId, ServiceId, StreamKey } from "../ids/index.ts";

/** Characters of a key: 64 bits. */
const KEY_LENGTH = 11;

/**
 * The service and the software version of the endpoint that began a stream. What two versions write does not fit
 * together, so that only endpoints of the same origin may continue the stream.
 */
export interface StreamOrigin {
  readonly service: ServiceId;
  readonly version: string;
}

/** Returns the key of the stream that a call began. */
export function streamKey(call: CallId): StreamKey {
  return createHash("sha256").update(call).digest("base64url")
    .slice(0, KEY_LENGTH) as StreamKey;
}

/** Whether two streams have the same origin. */
export function isSameOrigin(
  left: StreamOrigin | undefined,
  right: StreamOrigin | undefined,
): boolean {
  return left?.service === right?.service && left?.version === right?.version;
}
