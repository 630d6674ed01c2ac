/**
 * Owner tokens and idempotency keys.
 *
 * An idempotency key names the only entry, incarnation and epoch that may run it. Before the first send, the
 * caller requests an owner token and appends a random part of its own to it.
 *
 * @module
 */
import type { EntryId, IdempotencyKey, Incarnation } from "../ids/index.ts";

const KEY_PATTERN =
  /^([a-z0-9][a-z0-9-]{0,62})\.([a-z0-9]{8,32})\.(\d{1,9})\.([A-Za-z0-9_-]{8,64})$/;

/** An idempotency key and the owner that it names. */
export interface KeyOwner {
  readonly key: IdempotencyKey;
  readonly entry: EntryId;
  readonly incarnation: Incarnation;
  readonly epoch: number;
}

/** Formats an owner token, to which a caller appends `.` and at least 8 random characters. */
export function formatOwnerToken(
  entry: EntryId,
  incarnation: Incarnation,
  epoch: number,
): string {
  return `${entry}.${incarnation}.${epoch}`;
}

/** Parses a key. Returns `undefined` if it was not made from an owner token. */
export function parseKey(text: string): KeyOwner | undefined {
  const match = KEY_PATTERN.exec(text);
  if (match === null) {
    return undefined;
  }
  return {
    key: text as IdempotencyKey,
    entry: match[1] as EntryId,
    incarnation: match[2] as Incarnation,
    epoch: Number(match[3]),
  };
}
