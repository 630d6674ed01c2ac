/**
 * Hashes for rendezvous hashing, digests of keys and contents, and seeded random numbers.
 *
 * @module
 */
import { createHash } from "node:crypto";
import type { KeyDigest, PartDigest } from "./ids.ts";

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;
const UINT32_RANGE = 2 ** 32;

/** FNV-1a over the text with a final mix, in 0..2^32-1. Fast and stable across processes; not for secrets. */
export function hash32(text: string): number {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index++) {
    hash ^= text.charCodeAt(index);
    hash = Math.imul(hash, FNV_PRIME);
  }
  hash ^= hash >>> 16;
  hash = Math.imul(hash, 0x85ebca6b);
  hash ^= hash >>> 13;
  hash = Math.imul(hash, 0xc2b2ae35);
  hash ^= hash >>> 16;
  return hash >>> 0;
}

/** Hex SHA-256 of the input. */
export function sha256(input: string | Uint8Array): string {
  return createHash("sha256").update(input).digest("hex");
}

/** Characters of a key's digest: 132 bits. */
const KEY_DIGEST_LENGTH = 22;

/** Digest that represents a key wherever it is stored or compared. */
export function keyDigest(key: string): KeyDigest {
  return createHash("sha256").update(key).digest("base64url")
    .slice(0, KEY_DIGEST_LENGTH) as KeyDigest;
}

/** Sets digests of prompt parts apart from digests of whole requests. */
export const PART_PREFIX = "p:";
/** Ids of this form are kept as they are, so that operators recognize them. */
const SHORT_PART_ID = /^[0-9a-z_-]{1,32}$/;
/** Characters of the digest of any other id: 96 bits. */
const PART_DIGEST_LENGTH = 16;

/** Digest that represents a prompt part. It has a bounded length, whatever the caller sends as the part's id. */
export function partDigest(id: string): PartDigest {
  const name = id.toLowerCase();
  if (SHORT_PART_ID.test(name)) {
    return `${PART_PREFIX}${name}` as PartDigest;
  }
  const digest = createHash("sha256").update(name).digest("base64url")
    .slice(0, PART_DIGEST_LENGTH);
  return `${PART_PREFIX}~${digest}` as PartDigest;
}

/** Orders candidates by rendezvous hash for `key`, best first. All processes get the same order. */
export function rendezvous<Item>(
  key: string,
  items: Iterable<Item>,
  nameOf: (item: Item) => string,
): Item[] {
  const scored = [...items].map((item) => ({
    item,
    name: nameOf(item),
    score: hash32(`${key}|${nameOf(item)}`),
  }));
  scored.sort((left, right) =>
    right.score - left.score || (left.name < right.name ? -1 : 1)
  );
  return scored.map(({ item }) => item);
}

/**
 * Orders candidates by weighted rendezvous hash for `key`, best first. Each candidate is the best one for a
 * fraction of all keys that is proportional to its weight (above 0).
 */
export function weightedRendezvous<Item>(
  key: string,
  items: readonly Item[],
  { nameOf, weightOf }: {
    nameOf: (item: Item) => string;
    weightOf: (item: Item) => number;
  },
): Item[] {
  const scored = items.map((item) => {
    const uniform = (hash32(`${key}|${nameOf(item)}`) + 1) / (UINT32_RANGE + 1);
    return { item, score: -Math.log(uniform) / weightOf(item) };
  });
  scored.sort((left, right) => left.score - right.score);
  return scored.map(({ item }) => item);
}

/** A source of random numbers in [0, 1). */
export interface Randomness {
  next(): number;
}

/** Mulberry32: small, seeded, the same sequence on every machine. */
export class SeededRandomness implements Randomness {
  #state: number;

  constructor(seed: number) {
    this.#state = seed >>> 0;
  }

  next(): number {
    this.#state = (this.#state + 0x6d2b79f5) >>> 0;
    let mixed = this.#state;
    mixed = Math.imul(mixed ^ (mixed >>> 15), mixed | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / UINT32_RANGE;
  }
}

/** Up to `count` of the items, each equally likely, in random order. */
export function sample<Item>(
  items: readonly Item[],
  count: number,
  random: Randomness,
): Item[] {
  const shuffled = [...items];
  const taken = Math.min(count, shuffled.length);
  for (let index = 0; index < taken; index++) {
    const chosen = index +
      Math.floor(random.next() * (shuffled.length - index));
    [shuffled[index], shuffled[chosen]] = [shuffled[chosen]!, shuffled[index]!];
  }
  return shuffled.slice(0, taken);
}
