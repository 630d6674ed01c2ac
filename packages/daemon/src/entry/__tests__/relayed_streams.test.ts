import { connect, createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { EntryFixture, type Script } from "./entry_fixture.ts";
import {
  framesOf,
  judge,
  judgeHeld,
  responseOf,
  WRITINGS,
} from "./stream_fixture.ts";

/** Every which byte is tried; 1 by hand. */
const STRIDE = Number(process.env["WIRE_STRIDE"] ?? 13);
/** More than an answer has. */
const LONGEST = 1_100;
const AT_ONCE = 20;

/** A link to another entry that is cut after so many bytes of an answer. */
class CutLink {
  readonly #cuts = new Map<string, { after: number; reset: boolean }>();
  readonly #server: Server;
  target = "";

  constructor() {
    this.#server = createServer((near) => this.#join(near));
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

  /** Cuts the answer to the request that has this name in its body. */
  cut(name: string, how: { after: number; reset: boolean }): void {
    this.#cuts.set(name, how);
  }

  #join(near: Socket): void {
    const far = connect(Number(new URL(this.target).port), "127.0.0.1");
    let cut: { after: number; reset: boolean } | undefined;
    let passed = 0;
    near.on("data", (bytes) => {
      const name = /case-\d+-/.exec(bytes.toString("latin1"))?.[0];
      if (name !== undefined) {
        cut = this.#cuts.get(name);
        passed = 0;
      }
      far.write(bytes);
    });
    far.on("data", (bytes) => {
      const rest = (cut?.after ?? Infinity) - passed;
      passed += bytes.length;
      near.write(bytes.subarray(0, Math.max(0, rest)));
      if (passed >= (cut?.after ?? Infinity)) {
        far.destroy();
        cut!.reset ? near.resetAndDestroy() : near.end();
      }
    });
    for (const [one, other] of [[near, far], [far, near]] as const) {
      one.on("error", () => other.destroy());
      one.on("close", () => other.end());
    }
  }
}

describe("a stream by way of another entry", () => {
  const fixture = new EntryFixture();
  const link = new CutLink();

  beforeAll(async () => {
    const farUrl = await link.listen();
    await fixture.start({ pool: 2 }, { farUrl });
    link.target = fixture.urls[1]!;
    // The other region's capacity is known with its next heartbeats.
    let status = 0;
    while (status !== 200) {
      ({ status } = await fixture.chat(whole));
    }
  });
  afterAll(async () => {
    link.close();
    await fixture.stop();
  });

  const whole: Script = (socket, attempt) =>
    socket.write(responseOf(framesOf(attempt), WRITINGS[0]!).bytes);

  // The link between two entries is cut at each byte of an answer, streamed or held until whole; there is
  // no engine in the caller's region to go on at. The caller gets all, or a part that ends in sight.
  it.each([
    [true, true],
    [true, false],
    [false, true],
    [false, false],
  ])(
    "is whole or ends in sight, stream %s, reset %s",
    async (stream, reset) => {
      const bad: string[] = [];
      const seen = new Set<string>();
      const tryCut = async (after: number): Promise<void> => {
        let named = false;
        const answer = await fixture.chat(whole, {
          stream,
          named: (name) => {
            named = true;
            link.cut(name, { after, reset });
          },
        });
        const verdict = stream ? judge(answer) : judgeHeld(answer);
        seen.add(verdict);
        if (!named || verdict.startsWith("bad")) {
          bad.push(`${after}: ${verdict}`);
        }
      };
      for (let after = 1; after < LONGEST; after += STRIDE * AT_ONCE) {
        const cuts = Array.from(
          { length: AT_ONCE },
          (_, index) => after + index * STRIDE,
        );
        await Promise.all(cuts.map(tryCut));
      }
      expect(bad).toEqual([]);
      expect([...seen].sort()).toEqual(
        stream ? ["broken", "refused", "whole"] : ["refused", "whole"],
      );
    },
  );
});
