/**
 * Line-based patches between two texts. Peers send them instead of whole texts: at 25,000 changes a day,
 * whole texts of 100 kB would exceed the budget of an entry for control traffic.
 *
 * @module
 */
import { sha256 } from "../ids/index.ts";

/** Replaces `remove` lines of the base text, from index `start` on, by `lines`. */
export interface Hunk {
  readonly start: number;
  readonly remove: number;
  readonly lines: readonly string[];
}

/** A patch whose hunks are in order and do not overlap. */
export interface TextPatch {
  readonly hunks: readonly Hunk[];
  /** SHA-256 of the resulting text. */
  readonly digest: string;
}

/** Returns the patch that turns `from` into `to`. */
export function createTextPatch(from: string, to: string): TextPatch {
  const before = from.split("\n");
  const after = to.split("\n");
  const prefixLength = commonPrefixLength(before, after);
  const suffixLength = commonSuffixLength(before, after, prefixLength);
  const removed = before.slice(prefixLength, before.length - suffixLength);
  const added = after.slice(prefixLength, after.length - suffixLength);
  const hunks = removed.length === added.length
    ? diffLines(removed, added, prefixLength)
    : [{ start: prefixLength, remove: removed.length, lines: added }];
  return { hunks, digest: sha256(to) };
}

/** Applies a patch. Returns `undefined` if the result does not match the digest of the sender's text. */
export function applyPatch(
  text: string,
  { hunks, digest }: TextPatch,
): string | undefined {
  const lines = text.split("\n");
  const result: string[] = [];
  let consumed = 0;
  for (const { start, remove, lines: added } of hunks) {
    if (start < consumed || start + remove > lines.length) {
      return undefined;
    }
    result.push(...lines.slice(consumed, start), ...added);
    consumed = start + remove;
  }
  const patched = [...result, ...lines.slice(consumed)].join("\n");
  return sha256(patched) === digest ? patched : undefined;
}

function commonPrefixLength(
  before: readonly string[],
  after: readonly string[],
): number {
  const limit = Math.min(before.length, after.length);
  let length = 0;
  while (length < limit && before[length] === after[length]) {
    length++;
  }
  return length;
}

function commonSuffixLength(
  before: readonly string[],
  after: readonly string[],
  prefixLength: number,
): number {
  const limit = Math.min(before.length, after.length) - prefixLength;
  let length = 0;
  while (length < limit && before.at(-1 - length) === after.at(-1 - length)) {
    length++;
  }
  return length;
}

/** Compares runs of equal length line by line, because most changes replace values and keep the lines. */
function diffLines(
  removed: readonly string[],
  added: readonly string[],
  offset: number,
): Hunk[] {
  const hunks: Hunk[] = [];
  let index = 0;
  while (index < removed.length) {
    if (removed[index] === added[index]) {
      index++;
      continue;
    }
    const start = index;
    while (index < removed.length && removed[index] !== added[index]) {
      index++;
    }
    hunks.push({
      start: offset + start,
      remove: index - start,
      lines: added.slice(start, index),
    });
  }
  return hunks;
}
