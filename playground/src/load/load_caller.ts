/**
 * The callers of a load. A caller looks up the entries to use, sends its request, waits until the kind's
 * deadline and retries once after a refusal.
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
import type { DrawnRequest, LoadOutcome, RequestEnd } from "./load_types.ts";

/** One-way network delay between a caller and the region of an entry. */
const CALLER_ONE_WAY_DELAY_MS = 3;
/** One caller in three uses an entry list for three times its lifetime. */
const EXTENDED_LIST_FACTOR = 3;
/**
 * Callers abandon a stream that has been silent for this time, or for this many of the route's objectives for
 * the first event or for pauses, whichever is longest.
 */
const MIN_STALL_TIMEOUT_MS = 2_000;
const OBJECTIVES_PER_STALL_TIMEOUT = 4;
const PAUSES_PER_STALL_TIMEOUT = 8;
/** Callers respect `retry-after` up to this share of the time left until their deadline. */
const MAX_RETRY_WAIT_SHARE = 1 / 3;
const SERVICE_UNAVAILABLE = 503;

/** One attempt to send a request. */
interface Attempt {
  readonly drawn: DrawnRequest;
  readonly name: string;
  readonly startedAt: number;
  readonly number: number;
  /** When this attempt began, and for how long earlier ones were held before they were refused. */
  readonly attemptAt: number;
  readonly heldMs: number;
}

/** The result of an attempt. */
interface AttemptResult {
  readonly end: RequestEnd;
  readonly retryAfter: number | undefined;
  readonly firstEventMs: number | undefined;
}

/** A caller in one zone. */
export class LoadCaller {
  readonly #name: string;
  readonly #zone: string;
  readonly #region: string;
  readonly #world: RouteWorld;
  readonly #listLifetimeFactor: number;
  readonly #onOutcome: (outcome: LoadOutcome) => void;
  #entryAddresses: readonly string[] = [];
  #listExpiresAt = 0;

  constructor(
    { name, zone, region, index }: {
      name: string;
      zone: string;
      region: string;
      index: number;
    },
    { world, onOutcome }: {
      world: RouteWorld;
      onOutcome: (outcome: LoadOutcome) => void;
    },
  ) {
    this.#name = name;
    this.#zone = zone;
    this.#region = region;
    this.#world = world;
    this.#listLifetimeFactor = index % EXTENDED_LIST_FACTOR === 0
      ? EXTENDED_LIST_FACTOR
      : 1;
    this.#onOutcome = onOutcome;
  }

  send(drawn: DrawnRequest, name: string): void {
    this.#startAttempt({
      drawn,
      name,
      startedAt: this.#world.time.now,
      number: 1,
      attemptAt: this.#world.time.now,
      heldMs: 0,
    });
  }

  #startAttempt(attempt: Attempt): void {
    const entry = this.#pickEntry(attempt.drawn);
    if (entry === undefined) {
      return this.#retryOnce(attempt, { waitMs: 300, end: "failed" });
    }
    new CallerAttempt(attempt, {
      world: this.#world,
      entry,
      onResult: (result) => this.#handleResult(attempt, result),
    }).start();
  }

  #handleResult(
    attempt: Attempt,
    { end, retryAfter, firstEventMs }: AttemptResult,
  ): void {
    if (end === "refused") {
      const heldMs = attempt.heldMs + this.#world.time.now - attempt.attemptAt;
      const refused = { ...attempt, heldMs };
      return this.#retryOnce(refused, { waitMs: retryAfter ?? 0, end });
    }
    this.#finish(attempt, end, firstEventMs);
  }

  /** Retries once, unless the deadline has passed. */
  #retryOnce(
    attempt: Attempt,
    { waitMs, end }: { waitMs: number; end: RequestEnd },
  ): void {
    const { time } = this.#world;
    const leftMs = attempt.startedAt + attempt.drawn.kind.deadlineMs - time.now;
    if (attempt.number > 1 || leftMs <= 0) {
      return this.#finish(attempt, end);
    }
    this.#listExpiresAt = 0;
    time.after(
      Math.min(waitMs, leftMs * MAX_RETRY_WAIT_SHARE),
      () =>
        this.#startAttempt({
          ...attempt,
          number: attempt.number + 1,
          attemptAt: time.now,
        }),
    );
  }

  #finish(
    { drawn, startedAt, number, heldMs }: Attempt,
    end: RequestEnd,
    firstEventMs?: number,
  ): void {
    const { size, value, kind } = drawn;
    const lateValue = value * kind.lateValue / kind.value;
    this.#onOutcome({
      kind: kind.name,
      region: this.#region,
      customer: drawn.customer?.id,
      at: startedAt - this.#world.startOfScript,
      size,
      value,
      earnedValue: end === "on_time" ? value : end === "late" ? lateValue : 0,
      end,
      attempts: number,
      heldMs,
      firstEventMs,
    });
  }

  #pickEntry({ kind }: DrawnRequest): VirtualGateway | undefined {
    const { time, random } = this.#world;
    if (time.now >= this.#listExpiresAt) {
      this.#fetchEntryList(kind.route);
    }
    const alive = this.#entryAddresses.map((address) =>
      this.#world.entries.get(address.split(":")[0]!)
    ).filter((entry) => entry?.alive === true);
    return sample(alive, 1, random)[0];
  }

  #fetchEntryList(route: string): void {
    const { time, random, entries, store } = this.#world;
    const sameRegion = [...entries.values()].filter(({ alive, spot }) =>
      alive && spot.region === this.#region
    );
    const candidates = sameRegion.length > 0
      ? sameRegion
      : [...entries.values()].filter(({ alive }) => alive);
    const [entry] = sample(candidates, 1, random);
    const answer = entry?.gateway?.nameEntries({
      host: store.routes.get(route)?.host ?? "",
      region: this.#region as RegionId,
      zone: this.#zone as ZoneId,
      caller: this.#name,
    }, instant(time.now));
    if (answer !== undefined) {
      this.#entryAddresses = answer.addresses;
      this.#listExpiresAt = time.now +
        answer.lifetime * this.#listLifetimeFactor;
    }
  }
}

/** One attempt at one entry. */
class CallerAttempt {
  readonly #attempt: Attempt;
  readonly #world: RouteWorld;
  readonly #entry: VirtualGateway;
  readonly #onResult: (result: AttemptResult) => void;
  #status = 0;
  #retryAfter: number | undefined;
  #missedObjective = false;
  #lastEventAt: number | undefined;
  #firstEventMs: number | undefined;
  #finished = false;

  constructor(
    attempt: Attempt,
    { world, entry, onResult }: {
      world: RouteWorld;
      entry: VirtualGateway;
      onResult: (result: AttemptResult) => void;
    },
  ) {
    this.#attempt = attempt;
    this.#world = world;
    this.#entry = entry;
    this.#onResult = onResult;
  }

  start(): void {
    const { network, spots, time } = this.#world;
    const from = [...spots.values()].find(({ region }) =>
      region === this.#entry.spot.region
    )!;
    const oneWayMs = CALLER_ONE_WAY_DELAY_MS +
      network.delay(from, this.#entry.spot);
    time.after(oneWayMs, () => this.#sendToEntry(oneWayMs));
  }

  #sendToEntry(oneWayMs: number): void {
    const { drawn, name, startedAt, number } = this.#attempt;
    const { store, time } = this.#world;
    const route = store.routes.get(drawn.kind.route)!;
    const leftMs = startedAt + drawn.kind.deadlineMs - time.now;
    const call = `${name}.${number}`;
    this.#world.expectEvents(
      call,
      Math.max(1, Math.round(drawn.answerTokens / this.#tokensPerEvent())),
    );
    const deliver = (run: () => void): void => time.after(oneWayMs, run);
    const id = this.#entry.arrive({
      call: call as CallId,
      host: route.host,
      target: `${route.pathPrefix}x`,
      timeLeft: milliseconds(Math.max(1, leftMs)),
      prompt: drawn.prompt,
      key: drawn.customer?.key,
      lastEventId: undefined,
      bodyBytes: 0,
      fingerprint: fingerprintOf(name, this.#attempt.drawn.kind.name),
      relay: undefined,
    }, {
      head: (answer) => deliver(() => this.#handleHead(answer)),
      event: () => deliver(() => this.#handleEvent()),
      complete: () => deliver(() => this.#handleComplete()),
      broken: () => deliver(() => this.#finish("failed")),
    });
    const abandon = (): void => {
      if (!this.#finished) {
        this.#finish("left");
        this.#entry.alive && this.#entry.leave(id);
      }
    };
    time.after(Math.max(0, leftMs), abandon);
    this.#watchForStall(abandon);
  }

  #tokensPerEvent(): number {
    const [engine] = [...this.#world.backends.values()];
    return "figures" in engine!
      ? (engine as unknown as { figures: { tokensPerEvent: number } }).figures
        .tokensPerEvent
      : 1;
  }

  /** Abandons a stream that has stalled. */
  #watchForStall(abandon: () => void): void {
    const { time, store } = this.#world;
    const { kind } = this.#attempt.drawn;
    const { objective, pauseObjective } = store.routes.get(kind.route)!;
    const stallTimeoutMs = Math.max(
      MIN_STALL_TIMEOUT_MS,
      OBJECTIVES_PER_STALL_TIMEOUT * objective,
      PAUSES_PER_STALL_TIMEOUT * (pauseObjective ?? 0),
    );
    const waitingSince = this.#lastEventAt ?? time.now;
    time.after(waitingSince + stallTimeoutMs - time.now, () => {
      if (this.#finished) {
        return;
      }
      const idleMs = time.now - (this.#lastEventAt ?? waitingSince);
      idleMs >= stallTimeoutMs ? abandon() : this.#watchForStall(abandon);
    });
  }

  #handleHead({ status, retryAfter }: AnswerHead): void {
    this.#status = status;
    this.#retryAfter = retryAfter;
  }

  #handleEvent(): void {
    const { time, store } = this.#world;
    const { drawn, startedAt } = this.#attempt;
    const { objective, pauseObjective } = store.routes.get(drawn.kind.route)!;
    const gapMs = time.now - (this.#lastEventAt ?? startedAt);
    const maxGapMs = this.#lastEventAt === undefined
      ? objective
      : pauseObjective ?? Infinity;
    this.#missedObjective ||= gapMs > maxGapMs;
    this.#firstEventMs ??= time.now - startedAt;
    this.#lastEventAt = time.now;
  }

  #handleComplete(): void {
    const refused = this.#status === SERVICE_UNAVAILABLE;
    const served = this.#status === 200;
    this.#finish(
      refused
        ? "refused"
        : !served
        ? "failed"
        : this.#missedObjective
        ? "late"
        : "on_time",
    );
  }

  #finish(end: RequestEnd): void {
    if (!this.#finished) {
      this.#finished = true;
      this.#onResult({
        end,
        retryAfter: this.#retryAfter,
        firstEventMs: this.#firstEventMs,
      });
    }
  }
}
