import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { ChunkList } from "../index.ts";

const MEGABYTE = 1_000_000;
/** What a list of a megabyte may take. */
const MEMORY_BYTES = 4 * MEGABYTE;

function usedMemory(): number {
  setFlagsFromString("--expose-gc");
  runInNewContext("gc")();
  const { heapUsed, arrayBuffers } = process.memoryUsage();
  return heapUsed + arrayBuffers;
}

describe("a list of chunks", () => {
  it("returns the bytes in order, whatever the sizes of the chunks", () => {
    const sizes = fc.array(fc.oneof(
      fc.nat(20),
      fc.integer({ min: 1_000, max: 1_100 }),
      fc.integer({ min: 16_000, max: 17_000 }),
    ));
    fc.assert(fc.property(sizes, (lengths) => {
      const list = new ChunkList();
      let next = 0;
      const chunks = lengths.map((length) =>
        Buffer.from({ length }, () => next++ % 251)
      );
      chunks.forEach((chunk) => list.add(chunk));
      const whole = Buffer.concat(chunks);
      expect(list.length).toBe(whole.length);
      expect(list.take().equals(whole)).toBe(true);
      expect(list.length).toBe(0);
      expect(list.take().length).toBe(0);
    }));
  });

  // Guards against a body of chunks of a byte that takes a hundred times its length in memory.
  it("takes about as much memory as its bytes", async () => {
    const list = new ChunkList();
    const before = usedMemory();
    for (let index = 0; index < MEGABYTE; index++) {
      list.add(Buffer.allocUnsafeSlow(1));
    }
    await expect.poll(usedMemory).toBeLessThan(before + MEMORY_BYTES);
    expect(list.length).toBe(MEGABYTE);
  });

  // Guards against chunks that keep the whole read of a socket of which they are a small part.
  it("keeps nothing of what was received beside its chunks", async () => {
    const list = new ChunkList();
    const before = usedMemory();
    for (let index = 0; index < 1_000; index++) {
      list.add(Buffer.allocUnsafeSlow(64_000).subarray(0, 1_024));
    }
    await expect.poll(usedMemory).toBeLessThan(before + MEMORY_BYTES);
    expect(list.length).toBe(1_024_000);
  });
});
