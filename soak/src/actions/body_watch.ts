/**
 * Recognizes the bodies of requests among the bytes between entries.
 *
 * @module
 */

const MARK = /body of (\w+(?:-\d+)?);/g;
/** Longer than a mark, so that one that arrives in two pieces is found. */
const TAIL_CHARACTERS = 64;

/** Body of a request, which names it. */
export function requestBody(call: string, length: number): string {
  return `body of ${call};`.padEnd(length, "x");
}

/** A body that was sent to another entry. Entries are indexes. */
export interface SentBody {
  readonly call: string;
  readonly from: number;
  readonly to: number;
}

/** Collects the bodies that entries send each other. */
export class BodyWatch {
  readonly bodies: SentBody[] = [];

  /** Returns a function that takes the bytes of one connection in order. */
  connection(from: number, to: number): (bytes: Buffer) => void {
    const calls = new Set<string>();
    let tail = "";
    return (bytes) => {
      const text = tail + bytes.toString("latin1");
      for (const [, call] of text.matchAll(MARK)) {
        if (!calls.has(call!)) {
          calls.add(call!);
          this.bodies.push({ call: call!, from, to });
        }
      }
      tail = text.slice(-TAIL_CHARACTERS);
    };
  }
}
