/**
 * Fleets of entries before routes under virtual time: what finding and losing each other costs an entry,
 * and how long it takes. Bytes are those of the datagrams.
 *
 * @module
 */
import {
  type EntryId,
  FleetController,
  type FleetMessage,
  type Incarnation,
  instant,
  milliseconds,
  NO_POSITION,
  type RegionId,
  type Revision,
  SeededRandomness,
  StallAdjustedClock,
  type ZoneId,
} from "@sassafrasstep/core";
import { encodeFleetMessage } from "@sassafrasstep/daemon";
import { VirtualTime } from "../scenario/virtual_time.ts";

const TICK_MS = 25;
const PERIOD_MS = 500;
const NEAR_MS = 1;
const FAR_MS = 80;
const SETTLE_MS = 60_000;
const MEASURE_MS = 20_000;
const WATCH_MS = 30_000;
const REGIONS = 22;
const US_PER_MS = 1_000;
const MS_PER_SECOND = 1_000;

/** What one size showed. */
export interface ProbeFinding {
  readonly entries: number;
  /** Both ways, a node and second. */
  readonly bytes: number;
  readonly datagrams: number;
  /** Largest datagram. */
  readonly largest: number;
  /** Processor time of the decisions, a node and second. */
  readonly cpuUs: number;
  /** Until no live entry of its region holds a silent one for live. */
  readonly lostInRegionMs: number;
  /** The same over the whole fleet. */
  readonly lostEverywhereMs: number;
  readonly falseSuspects: number;
}

interface Node {
  readonly controller: FleetController;
  readonly region: string;
  readonly incarnation: Incarnation;
  alive: boolean;
}

/** Runs one size. */
export function measureProbes(entries: number): ProbeFinding {
  const fleet = new ProbeFleet(entries);
  fleet.run(SETTLE_MS);
  const before = fleet.counts();
  const suspects = fleet.suspects();
  const started = performance.now();
  fleet.run(MEASURE_MS);
  const cpuMs = performance.now() - started;
  const after = fleet.counts();
  const perNode = entries * MEASURE_MS / MS_PER_SECOND;
  const { region, everywhere } = fleet.lose();
  return {
    entries,
    bytes: Math.round(2 * (after.bytes - before.bytes) / perNode),
    datagrams: (after.datagrams - before.datagrams) / perNode,
    largest: after.largest,
    cpuUs: Math.round(cpuMs * US_PER_MS / perNode),
    lostInRegionMs: region,
    lostEverywhereMs: everywhere,
    falseSuspects: suspects,
  };
}

class ProbeFleet {
  readonly #time = new VirtualTime();
  readonly #nodes = new Map<string, Node>();
  #bytes = 0;
  #datagrams = 0;
  #largest = 0;

  constructor(entries: number) {
    const regions = Math.min(REGIONS, Math.max(3, Math.round(entries / 24)));
    for (let index = 0; index < entries; index++) {
      this.#add(index, `r${index % regions}`);
    }
  }

  run(duration: number): void {
    this.#time.runUntil(this.#time.now + duration);
  }

  counts(): { bytes: number; datagrams: number; largest: number } {
    return {
      bytes: this.#bytes,
      datagrams: this.#datagrams,
      largest: this.#largest,
    };
  }

  /** Opinions that are wrong: all are alive. */
  suspects(): number {
    const nodes = [...this.#nodes.values()];
    return nodes.reduce(
      (sum, { controller }) =>
        sum + nodes.length - 1 - controller.liveMembers().length,
      0,
    );
  }

  /** One entry falls silent; how long until nobody holds it for live. */
  lose(): { region: number; everywhere: number } {
    const [lost] = [...this.#nodes.values()];
    lost!.alive = false;
    const from = this.#time.now;
    let region = WATCH_MS;
    while (this.#time.now - from < WATCH_MS) {
      this.run(TICK_MS);
      const holding = [...this.#nodes.values()].filter((
        { alive, controller },
      ) =>
        alive &&
        controller.liveMembers().some(({ record }) =>
          record.incarnation === lost!.incarnation
        )
      );
      const near = holding.filter((node) => node.region === lost!.region);
      if (near.length === 0 && region === WATCH_MS) {
        region = this.#time.now - from;
      }
      if (holding.length === 0) {
        return { region, everywhere: this.#time.now - from };
      }
    }
    return { region, everywhere: WATCH_MS };
  }

  #add(index: number, region: string): void {
    const address = `n${index}:90`;
    const incarnation = `n${index}` as Incarnation;
    const controller = new FleetController({
      self: {
        id: `n${index}` as EntryId,
        incarnation,
        zone: `${region}-${index % 3}` as ZoneId,
        region: region as RegionId,
        callerAddress: `10.0.0.${index}:8144`,
        peerAddress: address,
        weight: 1,
      },
      seeds: ["n0:90", "n1:90", "n2:90"],
      pingPeriodMs: PERIOD_MS,
      isStandby: () => false,
      nextHolds: () => [],
      random: new SeededRandomness(index + 1),
      clock: new StallAdjustedClock(instant(0)),
      send: (to, message) => this.#send({ from: region, to, message }),
      holdings: () => ({ document: 1 as Revision, catalogue: NO_POSITION }),
      summary: () => ({
        region: region as RegionId,
        age: milliseconds(0),
        loads: [],
        shares: [],
      }),
    }, instant(0));
    this.#nodes.set(address, { controller, region, incarnation, alive: true });
    const tick = (): void => {
      if (this.#nodes.get(address)!.alive) {
        controller.tick(instant(this.#time.now));
      }
      this.#time.after(TICK_MS, tick);
    };
    this.#time.after((index * 7) % TICK_MS, tick);
  }

  #send(
    { from, to, message }: { from: string; to: string; message: FleetMessage },
  ): void {
    const size = encodeFleetMessage(message).length;
    this.#bytes += size;
    this.#datagrams++;
    this.#largest = Math.max(this.#largest, size);
    const node = this.#nodes.get(to);
    const delay = node?.region === from ? NEAR_MS : FAR_MS;
    this.#time.after(delay, () => {
      if (node?.alive === true) {
        node.controller.receive(message, instant(this.#time.now));
      }
    });
  }
}
