import { connect, createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { type EndpointScript, EntryFixture } from "./entry_fixture.ts";
import {
  classifyAnswer,
  classifyWholeAnswer,
  framesOf,
  responseOf,
  STREAM_ENCODINGS,
} from "./stream_fixture.ts";

/** Distance between the bytes at which the answer is cut; 1 tries every byte. */
const STRIDE_BYTES = Number(process.env["WIRE_STRIDE"] ?? 13);
/** Upper bound of an answer's length, in bytes. */
const MAX_ANSWER_BYTES = 1_100;
const CONCURRENCY = 20;

/** A TCP proxy to another entry that cuts answers after a given number of bytes. */
class CuttingProxy {
  readonly #cuts = new Map<string, { after: number; reset: boolean }>();
  readonly #server: Server;
  target = "";

  constructor() {
    this.#server = createServer((client) => this.#pipe(client));
  }

  async listen(): Promise<string> {
    await new Promise<void>((resolve) =>
      this.#server.listen(0, "127.0.0.1", resolve)
    );
    return `http://127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  close(): void {
    this.#server.close();
  }

  /** Cuts the answer to the request whose body contains this script name. */
  cut(name: string, cut: { after: number; reset: boolean }): void {
    this.#cuts.set(name, cut);
  }

  #pipe(client: Socket): void {
    const upstream = connect(Number(new URL(this.target).port), "127.0.0.1");
    let cut: { after: number; reset: boolean } | undefined;
    let forwardedBytes = 0;
    client.on("data", (bytes) => {
      const name = /case-\d+-/.exec(bytes.toString("latin1"))?.[0];
      if (name !== undefined) {
        cut = this.#cuts.get(name);
        forwardedBytes = 0;
      }
      upstream.write(bytes);
    });
    upstream.on("data", (bytes) => {
      const remainingBytes = (cut?.after ?? Infinity) - forwardedBytes;
      forwardedBytes += bytes.length;
      client.write(bytes.subarray(0, Math.max(0, remainingBytes)));
      if (forwardedBytes >= (cut?.after ?? Infinity)) {
        upstream.destroy();
        cut!.reset ? client.resetAndDestroy() : client.end();
      }
    });
    for (
      const [source, destination] of [[client, upstream], [
        upstream,
        client,
      ]] as const
    ) {
      source.on("error", () => destination.destroy());
      source.on("close", () => destination.end());
    }
  }
}

describe("a stream that is relayed by another entry", () => {
  const fixture = new EntryFixture();
  const proxy = new CuttingProxy();

  beforeAll(async () => {
    const remoteUrl = await proxy.listen();
    await fixture.start({ pool: 2 }, { remoteUrl });
    proxy.target = fixture.urls[1]!;
    // The first entry learns the other region's capacity from heartbeats.
    let status = 0;
    while (status !== 200) {
      ({ status } = await fixture.chat(writeWhole));
    }
  });
  afterAll(async () => {
    proxy.close();
    await fixture.stop();
  });

  const writeWhole: EndpointScript = (socket, attempt) =>
    socket.write(responseOf(framesOf(attempt), STREAM_ENCODINGS[0]!).bytes);

  // The link between two entries is cut at bytes all over an answer, streamed or buffered. The caller's
  // region has no engine to resume at. The caller gets the complete answer or a part with a visible error.
  it.each([
    [true, true],
    [true, false],
    [false, true],
    [false, false],
  ])(
    "is complete or ends with a visible error, stream %s, reset %s",
    async (stream, reset) => {
      const violations: string[] = [];
      const outcomes = new Set<string>();
      const tryCut = async (after: number): Promise<void> => {
        let hasName = false;
        const answer = await fixture.chat(writeWhole, {
          stream,
          onName: (name) => {
            hasName = true;
            proxy.cut(name, { after, reset });
          },
        });
        const outcome = stream
          ? classifyAnswer(answer)
          : classifyWholeAnswer(answer);
        outcomes.add(outcome);
        if (!hasName || outcome.startsWith("bad")) {
          violations.push(`${after}: ${outcome}`);
        }
      };
      for (
        let after = 1;
        after < MAX_ANSWER_BYTES;
        after += STRIDE_BYTES * CONCURRENCY
      ) {
        const cuts = Array.from(
          { length: CONCURRENCY },
          (_, index) => after + index * STRIDE_BYTES,
        );
        await Promise.all(cuts.map(tryCut));
      }
      expect(violations).toEqual([]);
      expect([...outcomes].sort()).toEqual(
        stream ? ["broken", "refused", "whole"] : ["refused", "whole"],
      );
    },
  );
});
