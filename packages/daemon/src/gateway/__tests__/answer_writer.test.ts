import type { ServerResponse } from "node:http";
import { beforeEach, describe, expect, it } from "vitest";
import { type AnswerSource, AnswerWriter } from "../answer_writer.ts";

/** A reply whose write buffer is full after four bytes. */
class SlowReply {
  written = "";
  destroyed = false;
  writableNeedDrain = false;
  #room = 4;

  write(chunk: Buffer): boolean {
    this.written += chunk.toString();
    this.#room -= chunk.length;
    this.writableNeedDrain = this.#room <= 0;
    return !this.writableNeedDrain;
  }

  drain(): void {
    this.#room = 4;
    this.writableNeedDrain = false;
  }
}

describe("answer writer", () => {
  let reply: SlowReply;
  let calls: string[];

  const open = (name: string): AnswerWriter => {
    const source: AnswerSource = {
      pause: () => calls.push(`${name} held`),
      resume: () => calls.push(`${name} released`),
    };
    return new AnswerWriter(reply as unknown as ServerResponse, source);
  };

  beforeEach(() => {
    reply = new SlowReply();
    calls = [];
  });

  it("pauses its source once and resumes it once after the buffer was emptied", () => {
    const writer = open("a");
    writer.onDrain();
    writer.write(Buffer.from("12345"));
    writer.write(Buffer.from("6"));
    expect(calls).toEqual(["a held"]);
    reply.drain();
    writer.onDrain();
    writer.onDrain();
    expect(calls).toEqual(["a held", "a released"]);
  });

  it("starts with its source paused if the previous attempt has filled the buffer", () => {
    open("a").write(Buffer.from("12345"));
    const next = open("b");
    expect(calls).toEqual(["a held", "b held"]);
    reply.drain();
    next.onDrain();
    expect(calls).toEqual(["a held", "b held", "b released"]);
  });

  it("does nothing once it is closed", () => {
    const writer = open("a");
    writer.write(Buffer.from("12345"));
    writer.close();
    reply.drain();
    writer.onDrain();
    writer.write(Buffer.from("late"));
    expect(reply.written).toBe("12345");
    expect(calls).toEqual(["a held"]);
  });

  it("writes nothing to a caller that has disconnected", () => {
    const writer = open("a");
    reply.destroyed = true;
    writer.write(Buffer.from("12345"));
    expect(reply.written).toBe("");
    expect(calls).toEqual([]);
  });
});
