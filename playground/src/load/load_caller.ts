/**
 * Callers of a load: they ask which entries to use, send, wait as long as their kind does, and come back
 * once after a refusal.
 *
 * @module
 */
import {
  type AnswerHead,
  type CallId,
  instant,
  milliseconds,
  type RegionId,
  sample,
  type ZoneId,
} from "@sassafrasstep/core";
import { fingerprintOf, type RouteWorld } from "../routes/route_world.ts";
import type { VirtualGateway } from "../routes/virtual_gateway.ts";
import type { DrawnRequest, LoadEnd, LoadOutcome } from "./load_types.ts";

/** One way between a caller and an entry, in milliseconds. */
const CALLER_MS = 3;
/** A third of callers keep a list for three times its lifetime. */
const KEEPERS = 3;
/** Callers leave a stream after a gap of this, or so many objectives or pauses, whichever is longest. */
const LEAST_PATIENCE_MS = 2_000;
const OBJECTIVES_OF_PATIENCE = 4;
const PAUSES_OF_PATIENCE = 8;
/** Part of the time left up to which callers wait as they are told. */
const RETRY_PART = 1 / 3;
const UNAVAILABLE = 503;

/** A try under way. */
interface Try {
  readonly drawn: DrawnRequest;
  readonly name: string;
  readonly startedAt: number;
  readonly number: number;
}

/** How a try ended. */
interface TryEnd {
  readonly end: LoadEnd;
  readonly retryAfter: number | undefined;
  readonly firstAfter: number | undefined;
}

/** One caller. */
export class LoadCaller {
  readonly #name: string;
  readonly #zone: string;
  readonly #region: string;
  readonly #world: RouteWorld;
  readonly #keepFactor: number;
  readonly #done: (outcome: LoadOutcome) => void;
  #list: readonly string[] = [];
  #listUntil = 0;

  constructor(
    { name, zone, region, index }: {
      name: string;
      zone: string;
      region: string;
      index: number;
    },
    { world, done }: {
      world: RouteWorld;
      done: (outcome: LoadOutcome) => void;
    },
  ) {
    this.#name = name;
    this.#zone = zone;
    this.#region = region;
    this.#world = world;
    this.#keepFactor = index % KEEPERS === 0 ? KEEPERS : 1;
    this.#done = done;
  }

  send(drawn: DrawnRequest, name: string): void {
    this.#try({ drawn, name, startedAt: this.#world.time.now, number: 1 });
  }

  #try(attempt: Try): void {
    const entry = this.#pick(attempt.drawn);
    if (entry === undefined) {
      return this.#again(attempt, { wait: 300, end: "failed" });
    }
    new CallerTry(attempt, {
      world: this.#world,
      entry,
      ended: (how) => this.#ended(attempt, how),
    }).start();
  }

  #ended(attempt: Try, { end, retryAfter, firstAfter }: TryEnd): void {
    if (end === "refused") {
      return this.#again(attempt, { wait: retryAfter ?? 0, end });
    }
    this.#finish(attempt, end, firstAfter);
  }

  /** Comes back once, if there is time. */
  #again(
    attempt: Try,
    { wait, end }: { wait: number; end: LoadEnd },
  ): void {
    const { time } = this.#world;
    const left = attempt.startedAt + attempt.drawn.kind.deadline - time.now;
    if (attempt.number > 1 || left <= 0) {
      return this.#finish(attempt, end);
    }
    this.#listUntil = 0;
    time.after(
      Math.min(wait, left * RETRY_PART),
      () => this.#try({ ...attempt, number: attempt.number + 1 }),
    );
  }

  #finish(
    { drawn, startedAt, number }: Try,
    end: LoadEnd,
    firstAfter?: number,
  ): void {
    const { worth, kind } = drawn;
    const late = worth * kind.lateWorth / kind.worth;
    this.#done({
      kind: kind.name,
      region: this.#region,
      at: startedAt - this.#world.startOfScript,
      worth,
      earned: end === "on_time" ? worth : end === "late" ? late : 0,
      end,
      tries: number,
      firstAfter,
    });
  }

  #pick({ kind }: DrawnRequest): VirtualGateway | undefined {
    const { time, random } = this.#world;
    if (time.now >= this.#listUntil) {
      this.#ask(kind.route);
    }
    const alive = this.#list.map((address) =>
      this.#world.entries.get(address.split(":")[0]!)
    ).filter((entry) => entry?.alive === true);
    return sample(alive, 1, random)[0];
  }

  #ask(route: string): void {
    const { time, random, entries, store } = this.#world;
    const near = [...entries.values()].filter(({ alive, spot }) =>
      alive && spot.region === this.#region
    );
    const any = near.length > 0
      ? near
      : [...entries.values()].filter(({ alive }) => alive);
    const [asked] = sample(any, 1, random);
    const answer = asked?.gateway?.nameEntries({
      host: store.routes.get(route)?.host ?? "",
      region: this.#region as RegionId,
      zone: this.#zone as ZoneId,
      caller: this.#name,
    }, instant(time.now));
    if (answer !== undefined) {
      this.#list = answer.addresses;
      this.#listUntil = time.now + answer.lifetime * this.#keepFactor;
    }
  }
}

/** One try at one entry. */
class CallerTry {
  readonly #attempt: Try;
  readonly #world: RouteWorld;
  readonly #entry: VirtualGateway;
  readonly #ended: (how: TryEnd) => void;
  #status = 0;
  #retryAfter: number | undefined;
  #late = false;
  #heardAt: number | undefined;
  #firstAfter: number | undefined;
  #over = false;

  constructor(
    attempt: Try,
    { world, entry, ended }: {
      world: RouteWorld;
      entry: VirtualGateway;
      ended: (how: TryEnd) => void;
    },
  ) {
    this.#attempt = attempt;
    this.#world = world;
    this.#entry = entry;
    this.#ended = ended;
  }

  start(): void {
    const { network, spots, time } = this.#world;
    const from = [...spots.values()].find(({ region }) =>
      region === this.#entry.spot.region
    )!;
    const way = CALLER_MS + network.delay(from, this.#entry.spot);
    time.after(way, () => this.#arrive(way));
  }

  #arrive(way: number): void {
    const { drawn, name, startedAt, number } = this.#attempt;
    const { store, time } = this.#world;
    const route = store.routes.get(drawn.kind.route)!;
    const left = startedAt + drawn.kind.deadline - time.now;
    const call = `${name}.${number}`;
    this.#world.expectEvents(
      call,
      Math.max(1, Math.round(drawn.answerTokens / this.#stride())),
    );
    const back = (run: () => void): void => time.after(way, run);
    const id = this.#entry.arrive({
      call: call as CallId,
      host: route.host,
      target: `${route.pathPrefix}x`,
      timeLeft: milliseconds(Math.max(1, left)),
      prompt: drawn.prompt,
      key: undefined,
      lastEventId: undefined,
      bodyBytes: 0,
      fingerprint: fingerprintOf(name, this.#attempt.drawn.kind.name),
      relay: undefined,
    }, {
      head: (answer) => back(() => this.#head(answer)),
      event: () => back(() => this.#event()),
      complete: () => back(() => this.#complete()),
      broken: () => back(() => this.#finish("failed")),
    });
    const leave = (): void => {
      if (!this.#over) {
        this.#finish("left");
        this.#entry.alive && this.#entry.leave(id);
      }
    };
    time.after(Math.max(0, left), leave);
    this.#watch(leave);
  }

  #stride(): number {
    const [engine] = [...this.#world.backends.values()];
    return "figures" in engine!
      ? (engine as unknown as { figures: { stride: number } }).figures.stride
      : 1;
  }

  /** Leaves a stream that stands still. */
  #watch(leave: () => void): void {
    const { time, store } = this.#world;
    const { kind } = this.#attempt.drawn;
    const { objective, pauseObjective } = store.routes.get(kind.route)!;
    const patience = Math.max(
      LEAST_PATIENCE_MS,
      OBJECTIVES_OF_PATIENCE * objective,
      PAUSES_OF_PATIENCE * (pauseObjective ?? 0),
    );
    const since = this.#heardAt ?? time.now;
    time.after(since + patience - time.now, () => {
      if (this.#over) {
        return;
      }
      const quiet = time.now - (this.#heardAt ?? since);
      quiet >= patience ? leave() : this.#watch(leave);
    });
  }

  #head({ status, retryAfter }: AnswerHead): void {
    this.#status = status;
    this.#retryAfter = retryAfter;
  }

  #event(): void {
    const { time, store } = this.#world;
    const { drawn, startedAt } = this.#attempt;
    const { objective, pauseObjective } = store.routes.get(drawn.kind.route)!;
    const gap = time.now - (this.#heardAt ?? startedAt);
    const most = this.#heardAt === undefined
      ? objective
      : pauseObjective ?? Infinity;
    this.#late ||= gap > most;
    this.#firstAfter ??= time.now - startedAt;
    this.#heardAt = time.now;
  }

  #complete(): void {
    const refused = this.#status === UNAVAILABLE;
    const served = this.#status === 200;
    this.#finish(
      refused
        ? "refused"
        : !served
        ? "failed"
        : this.#late
        ? "late"
        : "on_time",
    );
  }

  #finish(end: LoadEnd): void {
    if (!this.#over) {
      this.#over = true;
      this.#ended({
        end,
        retryAfter: this.#retryAfter,
        firstAfter: this.#firstAfter,
      });
    }
  }
}
