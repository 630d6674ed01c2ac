import { createServer, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { type GatewayEvent, milliseconds } from "@sassafrasstep/core";
import { afterEach, describe, expect, it } from "vitest";
import { CatalogueReader } from "../catalogue_reader.ts";
import type { CatalogueSource } from "../protocol.ts";

const CHUNK_INTERVAL_MS = 60;
const TIMEOUT = milliseconds(200);
const SNAPSHOT = { revision: 7, endpoints: [], evacuated: ["a-1"] };

describe("copying the catalogue from a peer", () => {
  let server: Server;
  afterEach(() => {
    server.closeAllConnections();
    server.close();
  });

  // Entries rejected by the platform copy the catalogue from peers. When the timeout of one second applied to
  // the whole copy, entries on slow links never received a catalogue of 3,000 routes. It now limits silence
  // only.
  it("succeeds if data keeps arriving for longer than the timeout", async () => {
    const text = JSON.stringify({ result: { data: SNAPSHOT } });
    const snapshot = await copyFrom((reply) => sendInChunks(reply, text));
    expect(snapshot).toMatchObject({ revision: 7, evacuated: ["a-1"] });
  });

  it("fails if no more data arrives", async () => {
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
      new CatalogueReader({ source: {} as CatalogueSource, dispatch: resolve })
        .copy({
          kind: "copyCatalogue",
          address: `127.0.0.1:${port}`,
          timeout: TIMEOUT,
        })
    );
    return event.kind === "catalogueCopied" ? event.snapshot : event;
  }
});

/** Sends the text in eight chunks, each within the timeout, all together exceeding it. */
function sendInChunks(reply: ServerResponse, text: string): void {
  const size = Math.ceil(text.length / 8);
  for (let chunk = 0; chunk < 8; chunk++) {
    setTimeout(
      () => reply.write(text.slice(chunk * size, (chunk + 1) * size)),
      chunk * CHUNK_INTERVAL_MS,
    );
  }
  setTimeout(() => reply.end(), 8 * CHUNK_INTERVAL_MS);
}
