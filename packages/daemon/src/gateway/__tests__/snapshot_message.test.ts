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

const ENDPOINT = {
  id: "i-1",
  service: "pool",
  address: "127.0.0.1:8000",
  zone: "a-1",
  softwareVersion: "v1",
  slots: 24,
  state: "ready",
  coldFor: 0,
  leavesIn: undefined,
  life: undefined,
  sequence: 4,
};
const SNAPSHOT = {
  epoch: 2,
  revision: 7,
  document: {
    version: 3,
    routes: [{
      name: "digest",
      host: "h",
      pathPrefix: "/d/",
      kind: "stream",
      targets: [{ service: "pool", weight: 1 }],
      attempts: 1,
      timeout: 5_000,
      objective: 1_000,
      priority: 1,
      homes: [],
      sticky: false,
      public: false,
      resumable: true,
    }],
    services: new Map([["pool", {
      id: "pool",
      healthPath: "/health",
      connectionLimit: 4,
      coldRate: 1.9,
      coldPeriod: 3_000,
      engine: { slots: 24, cacheTokens: 1_000, fetches: true },
    }]]),
    customers: new Map([["clinic", {
      id: "clinic",
      keyDigests: ["d"],
      rank: 1,
      homes: [],
    }]]),
    limits: { headerBytes: 1, bodyBytes: 2, headerTime: 3, idleTime: 4 },
  },
  endpoints: [ENDPOINT],
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

  async function copyFrom(data: unknown): Promise<unknown> {
    const address = await serve((_message, reply) =>
      reply.end(JSON.stringify({ result: { data } }))
    );
    const { signal } = new AbortController();
    return copyCatalogue(address, { signal, onData: () => {} });
  }

  // Guards against an entry that ends because of what a peer answers: the catalogue was applied unchecked.
  it.each([
    {},
    "catalogue",
    { revision: 7 },
    { ...encodeSnapshot(SNAPSHOT), endpoints: null },
    { ...encodeSnapshot(SNAPSHOT), evacuated: [1] },
    { ...encodeSnapshot(SNAPSHOT), revision: "7" },
    { ...encodeSnapshot(SNAPSHOT), document: { version: 3, routes: [] } },
  ])("fails if it is answered with %j", async (data) => {
    await expect(copyFrom(data)).rejects.toThrow();
  });

  it.each([
    { address: "127.0.0.1:80800" },
    { address: null },
    { id: "" },
    { slots: "many" },
    { sequence: -1 },
  ])("leaves out an endpoint with %j", async (fields) => {
    const { endpoints, ...rest } = encodeSnapshot(SNAPSHOT);
    const odd = { ...ENDPOINT, id: "i-2", ...fields };
    const copied = await copyFrom({ ...rest, endpoints: [odd, ...endpoints] });
    expect(copied).toMatchObject({ endpoints: [{ id: "i-1" }] });
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
