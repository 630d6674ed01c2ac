import { connect } from "node:net";
import { text } from "node:stream/consumers";
import { API_PATHS } from "@sassafrasstep/platform";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { PlatformFleet } from "../index.ts";

const RESOLVE_QUERY = "name=kiosk.example&region=a&zone=a-1";
/** Targets that parse as a URL in some places and not in others. */
const TARGETS = [
  "//",
  "///",
  "//[",
  "//:80800/",
  "/\\",
  "/%",
  "/%ff%fe?%",
  "*",
  "http://",
  "http://[",
  "http://x:80800/",
  "/trpc/%",
  "/trpc/constructor",
  `/${"a".repeat(20_000)}`,
];

/** Hosts with which a target is no URL. */
const HOSTS = ["99999999999999999999", "[", "a b", "x:80800", "%", "", "::"];
/** A target that libraries resolve by means of a URL. */
const TARGET_WITH_PARENT = "/r/../a";

// Guards against an entry that ends because of the target or the host of one request.
describe("a request for an odd target", () => {
  const fleet = new PlatformFleet();
  const exits: (number | null)[] = [];

  beforeAll(async () => {
    await fleet.prepare();
    await fleet.start(1);
    fleet.entries[0]!.process.once("exit", (code) => exits.push(code));
  });
  afterAll(() => fleet.close());

  const listeners = [
    "callers",
    "peers",
    "control",
    "directory",
    "readiness",
  ] as const;
  const addressOf = (listener: typeof listeners[number]): string => {
    const entry = fleet.entries[0]!;
    return listener === "peers"
      ? `${entry.host}:${fleet.peerPort}`
      : entry[listener];
  };
  it.each(listeners)("is answered at the address for %s", async (listener) => {
    const address = addressOf(listener);
    for (const target of TARGETS) {
      const status = await statusOf(address, target);
      expect(`${target.slice(0, 30)}: ${status}`).toMatch(/: 4\d\d$/);
    }
    expect(exits).toEqual([]);
  });

  it.each(listeners)(
    "with an odd host is answered at the address for %s",
    async (listener) => {
      const address = addressOf(listener);
      for (const oddHost of HOSTS) {
        for (const target of [TARGET_WITH_PARENT, "/health", "/trpc/x"]) {
          const status = await statusOf(address, target, oddHost);
          expect(`${target} ${oddHost}: ${status}`).toMatch(/: [24]\d\d$/);
        }
      }
      expect(exits).toEqual([]);
    },
  );

  it("does not keep the directory from answering others", async () => {
    const { directory } = fleet.entries[0]!;
    const path = `${API_PATHS.resolve}?${RESOLVE_QUERY}`;
    expect(await statusOf(directory, path)).toBe(200);
    expect(await statusOf(directory, `http://${directory}${path}`)).toBe(200);
  });
});

/** Sends a request line as it is; resolves with the status of the answer, 0 if there is none. */
async function statusOf(
  address: string,
  target: string,
  hostHeader = "kiosk.example",
): Promise<number> {
  const [host, port] = address.split(":");
  const socket = connect({ host: host!, port: Number(port) });
  socket.write(
    `GET ${target} HTTP/1.1\r\nhost: ${hostHeader}\r\nconnection: close\r\n\r\n`,
  );
  const answer = await text(socket).catch(() => "");
  return Number(/^HTTP\/1\.1 (\d{3})/.exec(answer)?.[1] ?? 0);
}
