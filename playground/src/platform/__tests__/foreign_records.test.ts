import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { callPlatform, PlatformFleet, StandInEndpoint } from "../index.ts";

const ENTRIES = 2;
const REQUESTS = 60;
const REQUEST_INTERVAL_MS = 20;
/** Long enough that endpoints have several requests at a time, so that each published one is used. */
const ANSWER_DELAY_MS = 250;
const SERVED = 200;

/** Ids and fields that no endpoint writes; each record is otherwise that of a ready endpoint. */
const FOREIGN_RECORDS: readonly [id: string, fields: object][] = [
  ["i-other", { address: "127.0.0.1:80800" }],
  ["i-other", { address: "127.0.0.1:65536" }],
  ["i-other", { address: "127.0.0.1:0" }],
  ["i-\u2603", {}],
  ["i-1\r\nx-other: 1", {}],
];

// Guards against an entry that ends with all its requests because of one record that another program has written.
describe("a record of another program in the store", () => {
  const fleet = new PlatformFleet();
  const exits: string[] = [];

  beforeAll(async () => {
    await fleet.prepare();
    await fleet.start(ENTRIES);
    fleet.endpoints.forEach((endpoint) => endpoint.delayMs = ANSWER_DELAY_MS);
    for (const { name, process } of fleet.entries) {
      process.once("exit", (code) => exits.push(`${name}: ${code}`));
    }
  });
  afterAll(() => fleet.close());

  it.each(FOREIGN_RECORDS)(
    "%j with %o harms no request",
    async (id, fields) => {
      fleet.publishEndpoint(id, {
        service: "plain",
        address: fleet.addressOf("i-p1"),
        state: "ready",
        sequence: 1,
        ...fields,
      });
      const statuses = await sendSteadily();
      expect(exits).toEqual([]);
      expect(statuses).toEqual(Array(REQUESTS).fill(SERVED));
      fleet.store.remove(fleet.endpointKey(id));
    },
  );

  async function sendSteadily(): Promise<number[]> {
    const answers: Promise<number>[] = [];
    for (let index = 0; index < REQUESTS; index++) {
      const { callers } = fleet.entries[index % ENTRIES]!;
      answers.push(send(callers, `call-${Math.random()}`));
      await new Promise((done) => setTimeout(done, REQUEST_INTERVAL_MS));
    }
    return Promise.all(answers);
  }

  /** Resolves with the status; 0 for a connection that ends without an answer. */
  async function send(address: string, call: string): Promise<number> {
    try {
      const { status, body } = await callPlatform(address, {
        path: "/once/x",
        call,
        body: "badge",
      });
      return body === StandInEndpoint.responseBody(call) ? status : -status;
    } catch {
      return 0;
    }
  }
});
