import type { FleetMessage } from "@sassafrasstep/core";
import { describe, expect, it } from "vitest";
import { decodeFleetMessage, encodeFleetMessage } from "../fleet_schema.ts";

const record = {
  id: "front-1",
  incarnation: "0a1b2c3d4e5f",
  version: 3,
  zone: "z1",
  region: "r1",
  callerAddress: "10.1.0.35:8144",
  peerAddress: "10.1.0.35:7660",
  state: "ready",
  weight: 0.324,
};
const hold = {
  subject: "Y2FsbGVyIGRpZ2Vz",
  caller: "ZGlnZXN0",
  service: "pool",
  versions: ["v1"],
  mended: ["v2"],
  term: 2,
  remaining: 1_200_000,
  released: false,
};
const base = {
  from: record,
  holdings: { document: 7, catalogue: { epoch: 2, revision: 1234 } },
};
const gossip = {
  sequence: 12,
  news: [
    { record, health: "live" },
    { record: { ...record, id: "front-2" }, health: "dead" },
  ],
  regions: [{
    region: "r1",
    age: 40,
    loads: [{
      service: "pool",
      endpoints: 4,
      work: 1200,
      requests: 9,
      backlog: 30,
    }],
    shares: [{ region: "r2", share: 0.25 }],
  }],
  holds: [hold],
};
/** One message for each place that holds an address. */
function withAddress(address: string): FleetMessage[] {
  const position = { epoch: 1, revision: 2 };
  const endpoint = {
    id: "i-1",
    service: "pool",
    address,
    zone: "z1",
    softwareVersion: "v1",
    slots: 4,
    state: "ready",
    coldFor: 0,
    leavesIn: undefined,
    life: undefined,
    sequence: 1,
  };
  const delta = {
    revision: 3,
    changes: [{ kind: "endpoint", record: endpoint }],
  };
  const messages = [
    { ...base, kind: "announce", from: { ...record, peerAddress: address } },
    { ...base, kind: "announce", from: { ...record, callerAddress: address } },
    { ...base, kind: "indirect", sequence: 1, target: address },
    {
      kind: "origins",
      message: { kind: "query", replyTo: address, keys: [], spread: false },
    },
    {
      kind: "currency",
      message: { kind: "question", from: address, sequence: 1, position },
    },
    {
      kind: "currency",
      message: {
        kind: "answer",
        incarnation: "a1",
        sequence: 1,
        version: 1,
        position,
        age: 1,
        news: delta,
      },
    },
  ];
  return messages as unknown as FleetMessage[];
}

const news = {
  crashes: [{
    endpoint: "i-7f3a91c2",
    life: undefined,
    service: "pool",
    zone: "z1",
    softwareVersion: "v1",
    age: 120,
    others: 3,
    victims: [{
      subject: "Y2FsbGVyIGRpZ2Vz",
      caller: "ZGlnZXN0",
      exposure: 88,
      trial: true,
    }],
  }],
  answered: [{ subject: "Y2FsbGVyIGRpZ2Vz", softwareVersion: "v2" }],
  tried: [{ subject: "Y2FsbGVyIGRpZ2Vz", sent: false }],
  onTrial: ["i-7f3a91c2"],
  holds: [hold, { ...hold, caller: undefined, released: true }],
};
const report = {
  partial: true,
  endpoints: [{
    endpoint: "i-7f3a91c2",
    life: 1_700_000_000_000,
    prefill: 8123,
    requests: 3,
    tokens: 21_000,
  }],
  prefixes: [{
    endpoint: "i-7f3a91c2",
    life: undefined,
    parts: [{ id: "5c1e07a2", tokens: 800 }, { id: "91bd3f06", tokens: 410 }],
  }],
  arrivals: [{ service: "pool", work: 350, requests: 3 }],
  picture: 4_021_337_777,
};
const answer = {
  kind: "answer",
  incarnation: "0a1b2c3d4e5f",
  sequence: 3,
  version: 17,
  position: { epoch: 2, revision: 1234 },
  age: 612,
  news: {
    revision: 1234,
    changes: [
      {
        kind: "endpoint",
        record: {
          id: "i-7f3a91c2",
          service: "pool",
          address: "10.1.64.8:8080",
          zone: "z1",
          softwareVersion: "v1",
          slots: 24,
          state: "draining",
          coldFor: 0,
          leavesIn: 2_500,
          life: undefined,
          sequence: 4,
        },
      },
      { kind: "endpointRemoved", id: "i-7f3a91c3" },
      { kind: "evacuated", zone: "z1" },
    ],
  },
};
const messages = [
  { kind: "ping", ...base, ...gossip },
  { kind: "ack", ...base, ...gossip },
  { kind: "indirect", ...base, sequence: 4, target: "10.1.0.9:7660" },
  { kind: "indirect_ack", ...base, sequence: 4 },
  { kind: "announce", ...base },
  { kind: "work", incarnation: record.incarnation, report },
  {
    kind: "currency",
    message: {
      kind: "question",
      from: "10.1.0.9:7660",
      sequence: 3,
      position: { epoch: 2, revision: 9 },
    },
  },
  { kind: "currency", message: { ...answer, news: undefined } },
  { kind: "currency", message: answer },
  {
    kind: "spending",
    message: {
      kind: "report",
      incarnation: "0a1b2c3d4e5f",
      first: true,
      spent: [{ customer: "clinic", sum: -7 }],
    },
  },
  {
    kind: "spending",
    message: {
      kind: "totals",
      incarnation: "0a1b2c3d4e5f",
      region: "r1",
      near: false,
      totals: [{ customer: "clinic", sum: 91_000, level: -400, part: 0.25 }],
    },
  },
  {
    kind: "limits",
    message: {
      kind: "grant",
      incarnation: "0a1b2c3d4e5f",
      notices: [
        { endpoint: "i-7f3a91c2", life: undefined, perSecond: 1.2, age: 40 },
        { endpoint: "i-2c917f3a", life: 7, perSecond: undefined, age: 0 },
      ],
    },
  },
  {
    kind: "departures",
    message: {
      incarnation: "0a1b2c3d4e5f",
      departures: [
        { endpoint: "i-7f3a91c2", life: undefined },
        { endpoint: "i-2c917f3a", life: 7 },
      ],
    },
  },
  {
    kind: "pressures",
    incarnation: record.incarnation,
    pressures: [{ endpoint: "i-7f3a91c2", life: 7, pressure: 1.2 }],
  },
  {
    kind: "cold",
    reports: [
      { endpoint: "i-7f3a91c2", life: undefined, coldFor: 2_700 },
      { endpoint: "i-2c917f3a", life: 7, coldFor: 1 },
    ],
  },
  {
    kind: "demand",
    incarnation: record.incarnation,
    report: {
      waiting: [
        {
          service: "pool",
          rank: 2,
          late: true,
          customer: "clinic",
          requests: 3,
          tokens: 21_400,
        },
        {
          service: "pool",
          rank: 0,
          late: false,
          customer: undefined,
          requests: 1,
          tokens: 0,
        },
      ],
      placed: [
        { service: "pool", customer: "clinic", requests: 9, tokens: 30_000 },
        { service: "pool", customer: undefined, requests: 5, tokens: 8_000 },
      ],
      paces: [{ endpoint: "i-7f3a91c2", contention: 250, age: 120 }],
    },
  },
  {
    kind: "retries",
    message: {
      kind: "loan",
      from: record.incarnation,
      service: "pool",
      amount: 0.75,
    },
  },
  { kind: "census", report: { region: "r1", entries: 40 } },
  {
    kind: "outlook",
    outlook: {
      region: "r1",
      age: 80,
      services: [{
        service: "pool",
        startDelays: [40, 40, 620],
        spareTokensPerSecond: 120_000,
      }],
    },
  },
  { kind: "quarantine", incarnation: record.incarnation, news },
] as unknown as FleetMessage[];

describe("datagrams between entries", () => {
  it.each(messages)("are decoded as they were encoded: $kind", (message) => {
    expect(decodeFleetMessage(encodeFleetMessage(message))).toEqual(message);
  });

  // Guards against a time until endpoints accept work again that entries of an earlier version take for a backlog.
  it("state the time until a service opens only where it has no endpoint", () => {
    const encode = (load: object): unknown => {
      const summary = {
        region: "r1",
        age: 0,
        loads: [{ service: "pool", work: 0, requests: 0, ...load }],
        shares: [],
      };
      const message = { kind: "ping", ...base, ...gossip, regions: [summary] };
      const decoded = decodeFleetMessage(
        encodeFleetMessage(message as unknown as FleetMessage),
      );
      return decoded?.kind === "ping" ? decoded.regions[0]!.loads[0] : decoded;
    };
    expect(encode({ endpoints: 0, backlog: 0, closedFor: 2_400 }))
      .toMatchObject({ backlog: 0, closedFor: 2_400 });
    expect(encode({ endpoints: 0, backlog: 0 }))
      .toMatchObject({ backlog: 0, closedFor: undefined });
    expect(encode({ endpoints: 2, backlog: 30, closedFor: 2_400 }))
      .toMatchObject({ backlog: 30, closedFor: undefined });
  });

  it("take less than 60 % of JSON with field names", () => {
    for (const message of messages.slice(0, 2).concat(messages.slice(-1))) {
      const named = JSON.stringify(message).length;
      expect(encodeFleetMessage(message).length).toBeLessThan(named * 0.6);
    }
  });

  describe("in another format are rejected", () => {
    const cases: [string, string][] = [
      ["invalid JSON", "{"],
      ["not an array", '{"kind":"ping"}'],
      ["null", "null"],
      ["nothing", ""],
      ["an unknown kind", '["pong",[],[0,0]]'],
      ["the name of a method", '["constructor"]'],
      ["an array as kind", '[["ping"]]'],
      ["a missing item", '["work","a"]'],
      ["an additional item", '["work","a",[true,[],[],[]],1]'],
      [
        "a string instead of a number",
        '["work","a",[true,[["e","9",1,1]],[],[]]]',
      ],
      ["an endpoint that is cold for years", '["cold",[["i-1",0,1e12]]]'],
      ["a truncated record", '["announce",["id"],[0,0]]'],
      ["a negative version", '["indirect_ack",[],[0,-1],1]'],
      [
        "a string that is too long",
        `["work","${"a".repeat(300)}",[true,[],[],[]]]`,
      ],
    ];
    it.each(cases)("%s", (_name, text) => {
      expect(decodeFleetMessage(Buffer.from(text))).toBeUndefined();
    });

    // Entries send to the addresses in messages, and the socket API throws for ports out of range.
    it.each(["127.0.0.1:80800", "127.0.0.1:0", "127.0.0.1", "a b:1", "", ":"])(
      "with the address %j of an entry or an endpoint",
      (address) => {
        for (const message of withAddress(address)) {
          expect(decodeFleetMessage(encodeFleetMessage(message)), message.kind)
            .toBeUndefined();
        }
        for (const message of withAddress("127.0.0.1:65535")) {
          expect(decodeFleetMessage(encodeFleetMessage(message)))
            .toEqual(message);
        }
      },
    );

    it("truncated at any byte", () => {
      const bytes = encodeFleetMessage(messages[5]!);
      for (let length = 0; length < bytes.length; length++) {
        expect(decodeFleetMessage(bytes.subarray(0, length))).toBeUndefined();
      }
    });
  });
});
