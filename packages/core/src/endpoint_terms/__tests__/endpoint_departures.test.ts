import fc from "fast-check";
import { describe, expect, it } from "vitest";
import {
  type DepartureMessage,
  EndpointDepartures,
  type EndpointId,
  type Incarnation,
  instant,
} from "../../index.ts";

const ENDPOINTS = ["e1", "e2", "e3"] as EndpointId[];
const ANSWER = { call: "c", status: 200 };
/** Two rounds of announcements, plus some margin. */
const ANNOUNCED_MS = 600;

interface Entry {
  readonly incarnation: Incarnation;
  readonly departures: EndpointDepartures;
}

/** The entries of a region. Datagrams arrive unless the sender or receiver is disconnected. */
class Region {
  readonly entries: Entry[] = [];
  readonly disconnected = new Set<Incarnation>();
  #starts = 0;
  #now = 0;

  start(index: number): void {
    const incarnation = `${index}.${this.#starts++}` as Incarnation;
    this.entries[index] = {
      incarnation,
      departures: new EndpointDepartures({
        incarnation,
        announcerOf: (endpoint) =>
          this.entries[ENDPOINTS.indexOf(endpoint) % this.entries.length]!
            .incarnation,
        peers: () =>
          this.entries.map((entry) => entry.incarnation).filter((other) =>
            other !== incarnation && !this.disconnected.has(other) &&
            !this.disconnected.has(incarnation)
          ),
        isPublished: () => true,
        send: (to, message) => this.#send(to, message),
        log: () => {},
      }),
    };
  }

  run(time: number): void {
    for (const end = this.#now + time; this.#now < end; this.#now += 25) {
      this.entries.forEach(({ departures }) =>
        departures.tick(instant(this.#now))
      );
    }
  }

  #send(to: Incarnation, message: DepartureMessage): void {
    this.entries.find(({ incarnation }) => incarnation === to)?.departures
      .receive(message);
  }
}

const step = fc.oneof(
  fc.record({
    kind: fc.constant("leaves" as const),
    entry: fc.nat({ max: 3 }),
    endpoint: fc.nat({ max: 2 }),
  }),
  fc.record({ kind: fc.constant("cut" as const), entry: fc.nat({ max: 3 }) }),
  fc.constant({ kind: "heal" as const }),
  fc.record({
    kind: fc.constant("restart" as const),
    entry: fc.nat({ max: 3 }),
  }),
  fc.record({
    kind: fc.constant("reborn" as const),
    endpoint: fc.nat({ max: 2 }),
  }),
);

describe("endpoints that announce that they are shutting down", () => {
  // Guards against an entry that forgets a departure, or applies it to the endpoint after the endpoint's restart.
  it("are known to the entry that got the answer and to all connected ones, until the endpoint restarts", () => {
    fc.assert(
      fc.property(fc.array(step, { maxLength: 12 }), (steps) => {
        const region = new Region();
        [0, 1, 2, 3].forEach((index) => region.start(index));
        const lives = ENDPOINTS.map(() => 1);
        /** For each endpoint, the entries that received its announcement directly since its last start. */
        const informed = ENDPOINTS.map(() => new Set<Incarnation>());
        const recordOf = (index: number): never =>
          ({ id: ENDPOINTS[index], life: lives[index] }) as never;
        for (const action of steps) {
          switch (action.kind) {
            case "leaves": {
              const { incarnation, departures } = region.entries[action.entry]!;
              informed[action.endpoint]!.add(incarnation);
              departures.handleAnswer(recordOf(action.endpoint), ANSWER);
              break;
            }
            case "cut":
              region.disconnected.add(
                region.entries[action.entry]!.incarnation,
              );
              break;
            case "heal":
              region.disconnected.clear();
              break;
            case "restart":
              region.start(action.entry);
              break;
            case "reborn":
              lives[action.endpoint]!++;
              informed[action.endpoint]!.clear();
          }
          region.run(ANNOUNCED_MS);
          region.entries.forEach(({ incarnation, departures }) =>
            ENDPOINTS.forEach((_, index) => {
              const known = departures.has(recordOf(index));
              if (informed[index]!.has(incarnation)) {
                expect(known).toBe(true);
              }
              if (informed[index]!.size === 0) {
                expect(known).toBe(false);
              }
            })
          );
        }
        if (region.disconnected.size === 0) {
          ENDPOINTS.forEach((_, index) => {
            const isAnyInformed = region.entries.some(({ incarnation }) =>
              informed[index]!.has(incarnation)
            );
            expect(
              !isAnyInformed ||
                region.entries.every(({ departures }) =>
                  departures.has(recordOf(index))
                ),
            ).toBe(true);
          });
        }
      }),
      { numRuns: 300 },
    );
  });
});
