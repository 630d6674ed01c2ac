import { createSocket, type Socket } from "node:dgram";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { callPlatform, eventually, PlatformFleet } from "../index.ts";

const ENTRIES = 2;
/** Addresses on loopback that no socket can have. */
const IMPOSSIBLE_ADDRESSES = ["127.0.0.1:80800", "127.0.0.1:0", "127.0.0.1"];
const HOLDINGS = [0, [0, 0]];

/** Datagrams that make an entry send something to the address. */
function datagramsNaming(address: string): unknown[] {
  const record = (place: 5 | 6): unknown[] => {
    const items = [
      "entry-9",
      "9a",
      1,
      "a-1",
      "a",
      "127.0.0.1:1",
      "127.0.0.1:1",
    ];
    items[place] = address;
    return [...items, "ready", 1];
  };
  const sound = record(5).with(5, "127.0.0.1:1");
  return [
    ["announce", record(6), HOLDINGS],
    ["announce", record(5), HOLDINGS],
    ["ping", record(6), HOLDINGS, 1, [], [], []],
    ["ping", sound, HOLDINGS, 1, [[record(6), "live"]], [], []],
    ["indirect", sound, HOLDINGS, 1, address],
    ["currency", ["question", address, 1, [0, 0]]],
    ["origins", ["query", address, "A".repeat(11), false]],
    ["origins", ["records", "9a", [], address]],
  ];
}

// Guards against an entry that ends because of an address in one datagram.
describe("datagrams that name an address that no socket can have", () => {
  const fleet = new PlatformFleet();
  const exits: string[] = [];
  let sender: Socket;

  beforeAll(async () => {
    await fleet.prepare();
    await fleet.start(ENTRIES);
    for (const { name, process } of fleet.entries) {
      process.once("exit", (code) => exits.push(`${name}: ${code}`));
    }
    // Entries are ready before they have heard of each other.
    await eventually(async () =>
      (await fleet.listedAddresses(fleet.entries[0]!, "kiosk.example"))
        .length === ENTRIES
    );
    sender = createSocket("udp4");
  });
  afterAll(async () => {
    sender.close();
    await fleet.close();
  });

  it("end no entry and are counted", async () => {
    const datagrams = IMPOSSIBLE_ADDRESSES.flatMap(datagramsNaming);
    for (const datagram of datagrams) {
      const bytes = Buffer.from(JSON.stringify(datagram));
      sender.send(bytes, fleet.peerPort, fleet.entries[0]!.host);
    }
    await eventually(async () =>
      exits.length > 0 || await countForeign() >= datagrams.length
    );
    expect(exits).toEqual([]);
    const { status } = await callPlatform(fleet.entries[0]!.callers, {
      path: "/again/x",
      call: "after",
    });
    expect(status).toBe(200);
    // No entry lists an address from such a datagram to callers.
    expect(await fleet.listedAddresses(fleet.entries[0]!, "kiosk.example"))
      .toEqual(fleet.entries.map(({ callers }) => callers).sort());
  });

  async function countForeign(): Promise<number> {
    const answer = await fetch(`http://${fleet.entries[0]!.control}/metrics`);
    const line = /^\w*datagrams_foreign (\d+)$/m.exec(await answer.text());
    return Number(line?.[1]);
  }
});
