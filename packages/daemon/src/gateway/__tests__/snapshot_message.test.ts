import { createServer, type RequestListener, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import type { CatalogueSnapshot } from "@sassafrasstep/core";
import { afterEach, describe, expect, it } from "vitest";
import { createControlApp } from "../control_app.ts";
import { createCatalogueHandler } from "../servers.ts";
import {
  CATALOGUE_PATH,
  copyCatalogue,
  decodeSnapshot,
  encodeSnapshot,
} from "../snapshot_message.ts";

const SNAPSHOT = {
  epoch: 2,
  revision: 7,
  document: {
    version: 3,
    services: new Map([["pool", { id: "pool", connectionLimit: 4 }]]),
    customers: new Map([["clinic", { id: "clinic", rank: 1 }]]),
  },
  endpoints: [{ id: "i-1", life: undefined, slots: 24 }],
  evacuated: ["a-1"],
} as unknown as CatalogueSnapshot;

describe("the procedure for the catalogue", () => {
  const servers: Server[] = [];
  afterEach(() => {
    for (const server of servers.splice(0)) {
      server.closeAllConnections();
      server.close();
    }
  });

  async function serve(listener: RequestListener): Promise<string> {
    const server = createServer(listener);
    servers.push(server);
    await new Promise<void>((done) => server.listen(0, "127.0.0.1", done));
    return `127.0.0.1:${(server.address() as AddressInfo).port}`;
  }

  const listeners = (
    snapshot: CatalogueSnapshot | undefined,
  ): RequestListener[] => [
    createCatalogueHandler({ snapshot: () => snapshot }),
    createControlApp({ snapshot: () => snapshot } as never),
  ];

  // Guards against entries of different versions that can't copy the catalogue from each other.
  it("is answered as its library answers it", async () => {
    for (const snapshot of [SNAPSHOT, undefined]) {
      const [own, library] = await Promise.all(
        listeners(snapshot).map(async (listener) => {
          const answer = await fetch(
            `http://${await serve(listener)}${CATALOGUE_PATH}`,
          );
          return {
            status: answer.status,
            type: answer.headers.get("content-type"),
            body: await answer.text(),
          };
        }),
      );
      expect(own).toEqual(library);
    }
  });

  it("is read from both", async () => {
    const signal = new AbortController().signal;
    for (const snapshot of [SNAPSHOT, undefined]) {
      const expected = snapshot === undefined
        ? undefined
        : decodeSnapshot(JSON.parse(JSON.stringify(encodeSnapshot(snapshot))));
      for (const listener of listeners(snapshot)) {
        const address = await serve(listener);
        expect(await copyCatalogue(address, { signal, onData: () => {} }))
          .toEqual(expected);
      }
    }
  });

  it("fails if it is refused", async () => {
    const address = await serve((_message, reply) => {
      reply.writeHead(503);
      reply.end('{"result":{"data":null}}');
    });
    const { signal } = new AbortController();
    await expect(copyCatalogue(address, { signal, onData: () => {} }))
      .rejects.toThrow('status "503"');
  });
});
