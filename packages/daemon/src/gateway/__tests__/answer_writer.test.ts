import type { ServerResponse } from "node:http";
import { beforeEach, describe, expect, it } from "vitest";
import { type AnswerSource, AnswerWriter } from "../answer_writer.ts";

/** A caller with room for so many bytes, and a source that notes what it is told. */
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

describe("the writer of an attempt", () => {
  let reply: SlowReply;
  let told: string[];

  const open = (name: string): AnswerWriter => {
    const source: AnswerSource = {
      hold: () => told.push(`${name} held`),
      release: () => told.push(`${name} released`),
    };
    return new AnswerWriter(reply as unknown as ServerResponse, source);
  };

  beforeEach(() => {
    reply = new SlowReply();
    told = [];
  });

  it("holds its source back once, and releases it once there is room", () => {
    const writer = open("a");
    writer.drained();
    writer.write(Buffer.from("12345"));
    writer.write(Buffer.from("6"));
    expect(told).toEqual(["a held"]);
    reply.drain();
    writer.drained();
    writer.drained();
    expect(told).toEqual(["a held", "a released"]);
  });

  it("begins held back where the attempt before it has filled the buffer", () => {
    open("a").write(Buffer.from("12345"));
    const next = open("b");
    expect(told).toEqual(["a held", "b held"]);
    reply.drain();
    next.drained();
    expect(told).toEqual(["a held", "b held", "b released"]);
  });

  it("changes nothing once it is closed", () => {
    const writer = open("a");
    writer.write(Buffer.from("12345"));
    writer.close();
    reply.drain();
    writer.drained();
    writer.write(Buffer.from("late"));
    expect(reply.written).toBe("12345");
    expect(told).toEqual(["a held"]);
  });

  it("writes nothing to a caller that has left", () => {
    const writer = open("a");
    reply.destroyed = true;
    writer.write(Buffer.from("12345"));
    expect(reply.written).toBe("");
    expect(told).toEqual([]);
  });
});
