/**
 * Copies messages between virtual entries.
 *
 * @module
 */

/**
 * Copies a message, so that its sender and its recipients share nothing. Accepts plain data
 * and maps, and throws for anything else. `structuredClone` takes most of the time of a long scenario.
 */
export function copyMessage<Value>(value: Value): Value {
  return copy(value) as Value;
}

function copy(value: unknown): unknown {
  if (typeof value === "function" || typeof value === "symbol") {
    throw new TypeError(`Cannot copy a ${typeof value} in a message`);
  }
  if (typeof value !== "object" || value === null) {
    return value;
  }
  if (Array.isArray(value)) {
    return value.map(copy);
  }
  if (value instanceof Map) {
    return new Map(
      [...value].map(([key, item]) => [copy(key), copy(item)]),
    );
  }
  if (Object.getPrototypeOf(value) !== Object.prototype) {
    throw new TypeError(
      `Cannot copy a ${value.constructor?.name} in a message`,
    );
  }
  const copied: Record<string, unknown> = {};
  for (const [key, item] of Object.entries(value)) {
    if (key === "__proto__") {
      throw new TypeError(`Cannot copy the key "${key}" in a message`);
    }
    copied[key] = copy(item);
  }
  return copied;
}
