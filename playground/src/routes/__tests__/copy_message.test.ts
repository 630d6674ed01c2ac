import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { copyMessage } from "../copy_message.ts";

const plain = fc.object({
  key: fc.string().filter((key) => key !== "__proto__"),
  values: [
    fc.string(),
    fc.double(),
    fc.boolean(),
    fc.constant(null),
    fc.constant(undefined),
  ],
});

describe("a copy of a message", () => {
  it("equals the message and shares nothing with it", () => {
    fc.assert(fc.property(plain, (message) => {
      const copied = copyMessage(message);
      expect(copied).toStrictEqual(structuredClone(message));
      const objects = objectsOf(message);
      objectsOf(copied).forEach((part) => expect(objects).not.toContain(part));
    }));
  });

  it("has its own maps", () => {
    const map = new Map([["a", { b: [1] }]]);
    const { copied } = copyMessage({ copied: map });
    expect(copied).toEqual(map);
    expect(copied).not.toBe(map);
    expect(copied.get("a")).not.toBe(map.get("a"));
  });

  // Guards against a scenario that passes although its message can't be sent as a datagram.
  it.each([[new Set()], [() => 1], [new Date(0)], [
    JSON.parse('{"__proto__":1}'),
  ]])(
    "of %o is not made",
    (value) => expect(() => copyMessage({ value })).toThrow(TypeError),
  );
});

function objectsOf(value: unknown): Set<unknown> {
  const found = new Set<unknown>();
  const visit = (part: unknown): void => {
    if (typeof part === "object" && part !== null) {
      found.add(part);
      Object.values(part).forEach(visit);
    }
  };
  visit(value);
  return found;
}
