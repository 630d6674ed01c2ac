import { createServer, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { type GatewayEvent, milliseconds } from "@sassafrasstep/core";
import { afterEach, describe, expect, it } from "vitest";
import { CatalogueRunner } from "../catalogue_runner.ts";
import type { CatalogueSource } from "../protocol.ts";

const PIECE_MS = 60;
const TIMEOUT = milliseconds(200);
const SNAPSHOT = { revision: 7, endpoints: [], evacuated: ["a-1"] };

describe("a copy of the picture from a peer", () => {
  let server: Server;
  afterEach(() => {
    server.closeAllConnections();
    server.close();
  });

  // Entries that the platform turned away asked their peers, and those on slow links had never got the
  // picture of 3,000 routes when their second was over: a copy was limited as a whole, like a read.
  it("is taken though it keeps coming for longer than its limit", async () => {
    const text = JSON.stringify({ result: { data: SNAPSHOT } });
    const snapshot = await copyFrom((reply) => trickle(reply, text));
    expect(snapshot).toMatchObject({ revision: 7, evacuated: ["a-1"] });
  });

  it("is given up where it stops coming", async () => {
    const from = performance.now();
    expect(await copyFrom((reply) => reply.write("{"))).toBeUndefined();
    expect(performance.now() - from).toBeLessThan(10 * TIMEOUT);
  });

  async function copyFrom(
    answer: (reply: ServerResponse) => void,
  ): Promise<unknown> {
    server = createServer((_message, reply) => {
      reply.writeHead(200, { "content-type": "application/json" });
      answer(reply);
    });
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", resolve)
    );
    const { port } = server.address() as AddressInfo;
    const event = await new Promise<GatewayEvent>((resolve) =>
      new CatalogueRunner({ source: {} as CatalogueSource, tell: resolve })
        .copy({
          kind: "copyCatalogue",
          address: `127.0.0.1:${port}`,
          timeout: TIMEOUT,
        })
    );
    return event.kind === "catalogueCopied" ? event.snapshot : event;
  }
});

/** Eight pieces, none of them late, together over the limit. */
function trickle(reply: ServerResponse, text: string): void {
  const size = Math.ceil(text.length / 8);
  for (let piece = 0; piece < 8; piece++) {
    setTimeout(
      () => reply.write(text.slice(piece * size, (piece + 1) * size)),
      piece * PIECE_MS,
    );
  }
  setTimeout(() => reply.end(), 8 * PIECE_MS);
}
