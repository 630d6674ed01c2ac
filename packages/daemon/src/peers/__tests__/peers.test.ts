import type { Server } from "node:http";
import type { AddressInfo } from "node:net";
import type {
  Heartbeat,
  HeartbeatReply,
  QuarantineUpdate,
} from "@sassafrasstep/core";
import fc from "fast-check";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import {
  type ControlService,
  createControlServer,
} from "../../control/index.ts";
import { encodeQuarantineNews } from "../../quarantine/index.ts";
import { Credentials, PeerClients, sendHeartbeat } from "../index.ts";
import {
  handOverSchema,
  heartbeatSchema,
  outcomeCopySchema,
} from "../schemas.ts";

const SECRET = "secret-of-the-test-0";
const MEMBER = {
  id: "n1",
  incarnation: "aaaaaaaaaaaa",
  version: 1,
  zone: "north-a",
  region: "north",
  url: "http://127.0.0.1:1",
  controlUrl: "http://127.0.0.1:2",
  state: "ready",
  epoch: 0,
  owns: ["aaaaaaaaaaaa"],
};
const FROM = { incarnation: "aaaaaaaaaaaa", beat: 7, version: 1 };
const HEARTBEAT = {
  deployment: "demo",
  from: FROM,
  revision: 1,
  rejected: 0,
  demand: [],
  freshness: [FROM],
  records: [{ record: MEMBER, beat: 7 }],
  news: [{
    zone: "south-a",
    region: "south",
    issuer: "aaaaaaaaaaaa",
    beat: 3,
    spare: [{ service: "pool", slots: 4, firstToken: 180 }],
    demand: [],
  }],
  leaving: [],
} as unknown as Heartbeat;

let server: Server;
let url: string;
const receivedHeartbeats: Heartbeat[] = [];
const receivedNews: QuarantineUpdate[] = [];

beforeAll(async () => {
  const service = {
    deployment: "demo",
    heartbeat: (heartbeat: Heartbeat): HeartbeatReply => {
      receivedHeartbeats.push(heartbeat);
      return {
        from: heartbeat.from,
        revision: heartbeat.revision,
        rejected: heartbeat.rejected,
        record: undefined,
        wanted: [],
        leaving: [],
      };
    },
    quarantine: (news: QuarantineUpdate) => receivedNews.push(news),
    prometheus: () => "",
    isReady: () => true,
  } as unknown as ControlService;
  server = createControlServer(service, new Credentials(SECRET, "demo"));
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
});

afterAll(() => {
  server.closeAllConnections();
  server.close();
});

describe("peers", () => {
  describe("the proof of the deployment", () => {
    it("differs each time and is accepted", () => {
      const credentials = new Credentials(SECRET, "demo");
      expect(credentials.createProof()).not.toBe(credentials.createProof());
      expect(credentials.verify(credentials.createProof())).toBe(true);
    });

    const strangers: [string, Credentials][] = [
      ["another secret", new Credentials("secret-of-another-00", "demo")],
      ["another deployment", new Credentials(SECRET, "other")],
    ];

    it.each(strangers)("is rejected with %s", (_, stranger) => {
      expect(new Credentials(SECRET, "demo").verify(stranger.createProof()))
        .toBe(
          false,
        );
    });

    it("is rejected if malformed", () => {
      fc.assert(
        fc.property(
          fc.string(),
          (text) => !new Credentials(SECRET, "demo").verify(text),
        ),
      );
    });
  });

  describe("messages", () => {
    it("from a proved peer are answered", async () => {
      const clients = new PeerClients(new Credentials(SECRET, "demo"));
      expect(await sendHeartbeat(clients.at(url), HEARTBEAT)).toMatchObject({
        from: FROM,
        wanted: [],
      });
      expect(receivedHeartbeats.at(-1)).toEqual(HEARTBEAT);
      await clients.close();
    });

    it("without a valid proof are rejected unread", async () => {
      const before = receivedHeartbeats.length;
      const clients = new PeerClients(
        new Credentials("secret-of-another-00", "demo"),
      );
      await expect(sendHeartbeat(clients.at(url), HEARTBEAT)).rejects
        .toThrow();
      expect(receivedHeartbeats).toHaveLength(before);
      await clients.close();
    });

    const withMember = (change: object): object => ({
      ...HEARTBEAT,
      records: [{ record: { ...MEMBER, ...change }, beat: 7 }],
    });
    const malformed: [string, object][] = [
      ["another deployment", { ...HEARTBEAT, deployment: "other" }],
      ["an impossible revision", { ...HEARTBEAT, revision: -1 }],
      ["a revision that is no number", { ...HEARTBEAT, revision: 1.5 }],
      ["a malformed freshness", {
        ...HEARTBEAT,
        from: { ...FROM, incarnation: "x y" },
      }],
      ["control characters in an id", withMember({ id: "n\u00001" })],
      ["an invalid URL", withMember({ url: "file:///x" })],
      ["too many items", { ...HEARTBEAT, freshness: Array(300).fill(FROM) }],
    ];

    it.each(malformed)("with %s are rejected", async (_, message) => {
      const before = receivedHeartbeats.length;
      const clients = new PeerClients(new Credentials(SECRET, "demo"));
      await expect(sendHeartbeat(clients.at(url), message as Heartbeat))
        .rejects.toThrow();
      expect(receivedHeartbeats).toHaveLength(before);
      await clients.close();
    });

    describe("with quarantine news", () => {
      const NEWS = {
        crashes: [],
        answered: [{ subject: "abc", softwareVersion: "" }],
        tried: [{ subject: "def", sent: true }],
        onTrial: [],
        holds: [],
      } as unknown as QuarantineUpdate;

      it("are accepted from a peer", async () => {
        const clients = new PeerClients(new Credentials(SECRET, "demo"));
        const text = JSON.stringify(encodeQuarantineNews(NEWS));
        await clients.at(url).quarantine.mutate(text);
        expect(receivedNews.at(-1)).toEqual(NEWS);
        await clients.close();
      });

      it.each(["", "[", "{}", "[[],[],[]]", "[[],[[1,2]],[],[]]"])(
        "are rejected if malformed: %o",
        async (text) => {
          const before = receivedNews.length;
          const clients = new PeerClients(new Credentials(SECRET, "demo"));
          await expect(clients.at(url).quarantine.mutate(text)).rejects
            .toThrow();
          expect(receivedNews).toHaveLength(before);
          await clients.close();
        },
      );
    });

    it("of any shape never make the schemas throw", () => {
      fc.assert(fc.property(fc.jsonValue(), (value) => {
        [heartbeatSchema, handOverSchema, outcomeCopySchema].forEach((schema) =>
          schema.safeParse(value)
        );
      }));
    });
  });
});
