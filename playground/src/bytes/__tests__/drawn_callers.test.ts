import { setTimeout as pause } from "node:timers/promises";
import { SeededRandomness } from "@sassafrasstep/core";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import {
  ByteFleet,
  eventsOf,
  type EventStyle,
  faultOf,
  type Framing,
  ProcessEntry,
  RawEngine,
  type RawRequest,
  type RunScript,
  type SeenAnswer,
  type Stop,
} from "../index.ts";

/** A seed, or a range such as `1-9`; if set, more callers and pauses are drawn. */
const { DRAWN_SEEDS } = process.env;
const SEEDS = DRAWN_SEEDS ?? "1";
const CALLS = DRAWN_SEEDS === undefined ? 8 : 24;
const PAUSES = DRAWN_SEEDS === undefined ? 1 : 3;
const FEW_EVENTS = 24;
/** More than the buffers of all sockets on the path hold. */
const MANY_EVENTS = 120_000;
const LARGE_PROBABILITY = 0.1;
const STOP_PROBABILITY = 0.6;
const READ_PAUSE_PROBABILITY = 0.4;
const MAX_READ_PAUSE_MS = 1_500;
const MAX_PIECE_BYTES = 40;
const MAX_WRITE_INTERVAL_MS = 12;
const MAX_START_DELAY_MS = 1_500;
const ATTEMPTS = 3;
const MAX_REQUESTS = 4;
const REGIONS = ["a", "a", "b", "c"];

const FRAMINGS: readonly Framing[] = ["chunked", "length", "none"];
const STOPS: readonly Stop[] = ["ended", "closed", "reset", "silent"];

/** The random choices for one caller. */
interface RandomCaller {
  readonly call: string;
  readonly events: number;
  readonly style: EventStyle;
  readonly startDelayMs: number;
  readonly readPauseMs: number;
  readonly entries: readonly number[];
}

// Combines callers that read slowly or return for the rest of their stream, endpoints that stop in every way,
// paused entries and relays between entries. Each caller must get a prefix of the bytes of one run.
describe("drawn callers", () => {
  let random = new SeededRandomness(1);
  const randomBelow = (limit: number): number =>
    Math.floor(random.next() * limit);
  const pick = <Item>(items: readonly Item[]): Item =>
    items[randomBelow(items.length)]!;
  const chance = (probability: number): boolean => random.next() < probability;

  const callersById = new Map<string, RandomCaller>();
  const drawCaller = (call: string): RandomCaller => ({
    call,
    events: chance(LARGE_PROBABILITY)
      ? MANY_EVENTS
      : 2 + randomBelow(FEW_EVENTS),
    style: {
      lineEnd: chance(0.5) ? "\n" : "\r\n",
      versions: chance(0.5),
      comments: false,
      ids: true,
    },
    startDelayMs: randomBelow(MAX_START_DELAY_MS),
    readPauseMs: chance(READ_PAUSE_PROBABILITY)
      ? randomBelow(MAX_READ_PAUSE_MS)
      : 0,
    entries: Array.from(
      { length: MAX_REQUESTS },
      () => randomBelow(REGIONS.length),
    ),
  });

  /** A random position inside an event: without framing, an end between events looks like the end of the stream. */
  const positionInsideEvent = (text: string): number => {
    let at = 1 + randomBelow(Math.max(0, text.length - 1));
    while (text[at - 1] === "\n" || text[at - 1] === "\r") {
      at++;
    }
    return at;
  };

  const script = ({ call, after }: RawRequest): RunScript => {
    const { events, style } = callersById.get(call.split(".")[0]!)!;
    const stopsEarly = chance(STOP_PROBABILITY);
    const text = eventsOf(call, { count: events, after, style });
    const isSmall = events <= FEW_EVENTS + 2;
    return {
      events,
      style,
      framing: pick(FRAMINGS),
      ...(stopsEarly
        ? { stop: pick(STOPS), stopAt: positionInsideEvent(text) }
        : {}),
      ...(isSmall
        ? {
          piece: 1 + randomBelow(MAX_PIECE_BYTES),
          pace: randomBelow(MAX_WRITE_INTERVAL_MS),
        }
        : {}),
    };
  };
  const engines = ["a", "a", "b", "b", "c"].map((region, index) => ({
    region,
    engine: new RawEngine(`i-${index}`, script),
  }));
  const fleet = new ByteFleet({
    engines,
    entries: REGIONS,
    attempts: ATTEMPTS,
    processes: true,
  });
  const runCount = (call: string): number =>
    engines.flatMap(({ engine }) => engine.runs)
      .filter((run) => run.call === call).length;

  beforeAll(() => fleet.start());
  afterAll(() => fleet.close());

  const runCaller = async (
    { call, events, style, startDelayMs, readPauseMs, entries }: RandomCaller,
  ): Promise<string[]> => {
    await pause(startDelayMs);
    const faults: string[] = [];
    let received = "";
    for (let index = 0; index < MAX_REQUESTS; index++) {
      const id = `${call}.${index}`;
      const after = lastEventId(received);
      const answer: SeenAnswer = await fleet.ask(id, {
        entry: entries[index]!,
        time: 6_000,
        ...(after > 0 ? { after } : {}),
        onBytes: readPauseMs > 0 && index === 0
          ? pauseOnce(readPauseMs)
          : undefined,
      });
      if (answer.status !== 200) {
        continue;
      }
      const whole = eventsOf(id, { count: events, after, style });
      const fault = faultOf(answer, { whole, style });
      if (fault !== undefined) {
        faults.push(`${id} (${answer.end}): ${fault}`);
      }
      if (runCount(id) > ATTEMPTS) {
        faults.push(`${id}: ${runCount(id)} runs`);
      }
      received += answer.body;
      if (answer.end === "whole" || fault !== undefined) {
        break;
      }
    }
    return faults;
  };

  const pauseEntries = async (): Promise<void> => {
    for (let index = 0; index < PAUSES; index++) {
      await pause(randomBelow(1_000));
      const entry = pick(fleet.entries) as ProcessEntry;
      entry.signal("SIGSTOP");
      await pause(300 + randomBelow(1_800));
      entry.signal("SIGCONT");
    }
  };

  const [first, last = first] = SEEDS.split("-").map(Number);
  const seeds = Array.from(
    { length: last! - first! + 1 },
    (_, index) => first! + index,
  );
  it.each(seeds)("get the bytes of one run, seed %i", async (seed) => {
    random = new SeededRandomness(seed);
    const calls = Array.from(
      { length: CALLS },
      (_, index) => drawCaller(`s${seed}-${index}`),
    );
    calls.forEach((one) => callersById.set(one.call, one));
    const pausing = pauseEntries();
    const faults = await Promise.all(calls.map(runCaller));
    await pausing;
    expect(faults.flat()).toEqual([]);
  });
});

/** Number of the last event in a body, or 0. */
function lastEventId(body: string): number {
  const ids = [...body.matchAll(/^id: (\d+)/gm)];
  return Number(ids.at(-1)?.[1] ?? 0);
}

function pauseOnce(durationMs: number): () => Promise<void> | undefined {
  let paused = false;
  return () => {
    const first = !paused;
    paused = true;
    return first ? pause(durationMs) : undefined;
  };
}
