import type { FleetMessage } from "@sassafrasstep/core";
import { describe, expect, it } from "vitest";
import { decodeFleetMessage, encodeFleetMessage } from "../fleet_schema.ts";
import {
  formatRelayHeader,
  formatStreamOrigin,
  parseRelayHeader,
  parseStreamOrigin,
} from "../relay_header.ts";

const KEYS = ["abcdefghijk", "AB-_0123456"];
const GROUPS = [
  {
    origin: { service: "pool", version: "v1.2" },
    revision: 1,
    lifetime: 20_000,
    keys: KEYS,
  },
  { origin: undefined, revision: 1_000, lifetime: 5, keys: [KEYS[0]] },
];

describe("messages about origins of streams", () => {
  it.each([
    { kind: "records", from: "a1", groups: GROUPS, confirmTo: undefined },
    { kind: "records", from: "a1", groups: [], confirmTo: "10.0.0.1:90" },
    { kind: "confirmed", from: "b1" },
    { kind: "query", replyTo: "10.0.0.1:90", keys: KEYS, spread: true },
    { kind: "found", groups: GROUPS },
    { kind: "missing", from: "b1", keys: KEYS },
  ])("are decoded as they were encoded: $kind", (message) => {
    const datagram = { kind: "origins", message } as unknown as FleetMessage;
    expect(decodeFleetMessage(encodeFleetMessage(datagram))).toEqual(datagram);
  });

  it.each([
    ["an unknown kind", ["guess", "a1"]],
    ["a key that is cut off", ["query", "a", "abcdefghij", false]],
    ["another character in a key", ["query", "a", "abcdefghij ", false]],
    ["too many keys", ["query", "a", "abcdefghijk".repeat(501), false]],
    ["a negative lifetime", ["found", [["pool", "v1", 1, -1, ""]]]],
    ["a missing item", ["records", "a1", []]],
  ])("are dropped if they have %s", (_name, message) => {
    const bytes = Buffer.from(JSON.stringify(["origins", message]));
    expect(decodeFleetMessage(bytes)).toBeUndefined();
  });

  // Guards the bytes that an entry with 40 streams a second may send.
  it("take eleven bytes for each stream", () => {
    const sizeWith = (count: number): number =>
      encodeFleetMessage({
        kind: "origins",
        message: {
          kind: "records",
          from: "c14d6e5ba07d",
          groups: [{
            origin: { service: "sassafras-pool", version: "v1.2" },
            revision: 1,
            lifetime: 20_000,
            keys: Array.from({ length: count }, () => KEYS[0]),
          }],
          confirmTo: undefined,
        },
      } as unknown as FleetMessage).length;
    expect(sizeWith(10) - sizeWith(0)).toBe(110);
    expect(sizeWith(0)).toBeLessThanOrEqual(90);
  });
});

describe("the origin of a relayed stream", () => {
  const origin = { service: "pool;a" as never, version: "v1 é%" };

  it("arrives as it was sent, with the request and with the answer", () => {
    const relay = {
      from: "a1" as never,
      sentBefore: 1,
      customer: undefined,
      origin,
      documentVersion: 7 as never,
    };
    const fingerprint = { content: "c" as never, caller: "d" as never };
    expect(parseRelayHeader(formatRelayHeader(relay, fingerprint))?.relay)
      .toEqual(relay);
    expect(parseStreamOrigin(formatStreamOrigin(origin))).toEqual(origin);
  });

  // Endpoints publish their versions as JSON, which can hold an unpaired surrogate: encoding it in a header threw in
  // the middle of a connection's event, and the process ended.
  it("with an unpaired surrogate in its version can be sent", () => {
    const odd = { ...origin, version: "v\ud800" };
    expect(parseStreamOrigin(formatStreamOrigin(odd))?.version).toBe("v\ufffd");
  });

  it.each(["", ";v1", "pool", "%zz;v1"])(
    "is unknown if its header is %o",
    (text) => expect(parseStreamOrigin(text)).toBeUndefined(),
  );
});
