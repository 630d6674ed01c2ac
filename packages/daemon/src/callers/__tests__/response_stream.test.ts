import { describe, expect, it } from "vitest";
import { ResponseStream } from "../response_stream.ts";

describe("a response stream", () => {
  it("blocks the writer while its reader is slow", async () => {
    // Guards against memory that grows with every slow reader: the engine keeps writing while the caller
    // reads nothing, and everything that arrives is buffered until it can be sent.
    const stream = new ResponseStream();
    let written = 0;
    const writing = (async (): Promise<void> => {
      for (; written < 1_000; written++) {
        await stream.write("token");
      }
      stream.end();
    })();
    await new Promise((resolve) => setTimeout(resolve, 20));
    expect(written).toBeLessThan(20);
    const text = await new Response(stream.body).text();
    await writing;
    expect(text).toBe("token".repeat(1_000));
  });

  describe("with two writers waiting", () => {
    // Guards against an attempt that waits forever and leaks its caller. A slow caller's deadline passed
    // while an attempt was waiting for it to read; the error event was a second waiting write, and only the
    // later of the two writers was woken.
    const ends: [string, (stream: ResponseStream) => unknown][] = [
      ["ends", (stream) => stream.end()],
      ["is cancelled", (stream) => stream.body.cancel()],
      ["is read", (stream) => {
        const reader = stream.body.getReader();
        return Promise.all(Array.from({ length: 30 }, () => reader.read()));
      }],
    ];

    it.each(ends)("releases both when it %s", async (_, end) => {
      const stream = new ResponseStream();
      for (let index = 0; index < 15; index++) {
        await stream.write("token");
      }
      const writers = [stream.write("token"), stream.write("error")];
      void end(stream);
      await Promise.all(writers);
    }, 1_000);
  });

  it("releases a writer whose reader has cancelled", async () => {
    const stream = new ResponseStream();
    const writing = (async (): Promise<void> => {
      for (let index = 0; index < 100; index++) {
        await stream.write("token");
      }
    })();
    await stream.body.cancel();
    await writing;
    stream.end();
  });
});
