/**
 * Fixture: a core that is ready to serve, for tests of single decisions.
 *
 * @module
 */
import {
  Core,
  type CoreEvent,
  type Effect,
  type EndpointId,
  type EntryId,
  type FinalAnswer,
  type Heartbeat,
  type Incarnation,
  instant,
  type ListedVm,
  type LoadReport,
  type MemberRecord,
  milliseconds,
  type RegionId,
  type RequestHead,
  type RequestId,
  type Revision,
  SeededRandomness,
  sha256,
  type SpareCapacity,
  type ZoneId,
} from "../index.ts";

/** Operators' configuration in the tests: two regions, a home-bound customer and one that is not. */
export const CONFIGURATION_TEXT = `[deployment]
name = demo
objective = tail
spill_limit = 0.5

[region north]
zones = north-a, north-b

[region south]
zones = south-a

[service print]
kind = plain
repeatable = no
not_run_statuses = 503
regions = north, south

[service lookup]
kind = plain
repeatable = yes
regions = north, south

[service pool]
kind = model
model = m1
pool = pool
regions = north, south

[customer clinic]
home = north
token_sha256 = ${sha256("clinic")}
requests_per_s = 1000

[customer guest]
home = north
bound = no
token_sha256 = ${sha256("guest")}
requests_per_s = 1000
`;

/** An endpoint in the tests. */
export interface TestEndpoint {
  readonly id: string;
  readonly pool: string;
  readonly zone?: string;
  readonly load?: Partial<LoadReport>;
}

const START_MS = 1_000_000;
const DEFAULT_REPORT: LoadReport = {
  age: milliseconds(0),
  running: 0,
  queued: 0,
  slots: 4,
  prefillRate: 1_000,
  holdTime: milliseconds(1_000),
  draining: false,
  model: "m1",
  fence: 0,
  evicted: [],
  cacheGap: false,
};

/** Drives a core with a simulated clock. */
export class CoreFixture {
  readonly core: Core;
  /** All effects so far. */
  readonly effects: Effect[] = [];
  #ms = START_MS;
  #requests = 0;

  constructor(
    endpoints: readonly TestEndpoint[],
    { text = CONFIGURATION_TEXT, seed = 1 }: { text?: string; seed?: number } =
      {},
  ) {
    this.core = new Core({
      self: {
        id: "n1" as EntryId,
        incarnation: "aaaaaaaaaaaa" as Incarnation,
        zone: "north-a" as ZoneId,
        region: "north" as RegionId,
        url: "http://n1",
        controlUrl: "http://n1:control",
        deployment: "demo",
        seeds: [],
        heartbeatPeriod: milliseconds(1_000),
        epochLength: milliseconds(300_000),
      },
      random: new SeededRandomness(seed),
    }, instant(this.#ms));
    this.handle({ kind: "configurationRead", revision: 1 as Revision, text });
    this.listEndpoints(endpoints);
    this.handle({ kind: "tick" });
  }

  get now(): number {
    return this.#ms;
  }

  /** Passes in a VM list with these endpoints, and their load reports. */
  listEndpoints(endpoints: readonly TestEndpoint[]): void {
    const vms = endpoints.map(({ id, pool, zone = "north-a" }): ListedVm => ({
      id: id as EndpointId,
      role: "endpoint",
      zone: zone as ZoneId,
      region: "north" as RegionId,
      url: `http://${id}`,
      pool,
      state: "live",
    }));
    this.handle({ kind: "vmsListed", vms });
    endpoints.forEach(({ id, load }) => this.reportLoad(id, load));
  }

  reportLoad(id: string, load: Partial<LoadReport> = {}): void {
    this.handle({
      kind: "load",
      endpoint: id as EndpointId,
      report: { ...DEFAULT_REPORT, ...load },
    });
  }

  /** Advances time in small steps, with a tick after each. */
  advance(ms: number): Effect[] {
    const before = this.effects.length;
    for (const end = this.#ms + ms; this.#ms < end;) {
      this.#ms = Math.min(end, this.#ms + 25);
      this.handle({ kind: "tick" });
    }
    return this.effects.slice(before);
  }

  /** Simulates a pause of the process, followed by a tick. */
  pause(ms: number): Effect[] {
    this.#ms += ms;
    return this.handle({ kind: "tick" });
  }

  handle(event: CoreEvent): Effect[] {
    const effects = this.core.handle(event, instant(this.#ms));
    this.effects.push(...effects);
    return effects;
  }

  /** Receives a heartbeat of a peer, with the spare capacity of its zone. */
  receiveHeartbeat(
    from: Partial<MemberRecord>,
    { spare = [] }: { spare?: readonly SpareCapacity[] } = {},
  ): void {
    const incarnation = from.incarnation ?? "bbbbbbbbbbbb" as Incarnation;
    const id = from.id ?? "n2";
    const record = {
      id,
      incarnation,
      version: 1,
      zone: "north-a",
      region: "north",
      url: `http://${id}`,
      controlUrl: `http://${id}:control`,
      state: "ready",
      epoch: 0,
      owns: [incarnation],
      ...from,
    } as MemberRecord;
    const { zone, region } = record;
    const beat = this.#ms;
    const heartbeat: Heartbeat = {
      deployment: "demo",
      from: { incarnation, beat, version: 1 },
      revision: 1 as Revision,
      rejected: 0 as Revision,
      demand: [],
      freshness: [],
      records: [{ record, beat }],
      news: [{ zone, region, issuer: incarnation, beat, spare, demand: [] }],
      leaving: [],
    };
    this.core.answerHeartbeat(heartbeat, instant(this.#ms));
  }

  ownerToken(): string {
    return this.core.ownerToken(instant(this.#ms));
  }

  /** Sends a request whose body arrives at once. Returns its id and the effects. */
  sendRequest(
    head: Partial<RequestHead>,
    facts: { promptTokens?: number; blocks?: number[]; body?: string } = {},
  ): SentRequest {
    this.#requests++;
    const id = `r${this.#requests}` as RequestId;
    const { promptTokens = 0, blocks = [], body = "" } = facts;
    const fullHead: RequestHead = {
      id,
      tokenDigest: sha256("clinic"),
      service: "pool",
      requestClass: undefined,
      deadline: milliseconds(10_000),
      key: undefined,
      hops: [],
      forwarded: false,
      resumeOffset: 0,
      ...head,
    };
    const effects = this.handle({ kind: "request", head: fullHead });
    if (effects.some(({ kind }) => kind === "readBody")) {
      effects.push(
        ...this.handle({
          kind: "body",
          request: id,
          facts: { digest: sha256(body), promptTokens, blocks },
        }),
      );
    }
    return { id, effects };
  }
}

/** A sent request. */
export interface SentRequest {
  readonly id: RequestId;
  readonly effects: readonly Effect[];
}

/** Returns the targets of all dispatched attempts among effects. */
export function dispatchedTargets(effects: readonly Effect[]): string[] {
  return effects.flatMap((effect) => {
    if (effect.kind !== "dispatch") {
      return [];
    }
    const { target } = effect.attempt;
    return [
      target.kind === "endpoint" ? target.endpoint : `peer ${target.url}`,
    ];
  });
}

/** Returns the final answers among effects. */
export function finalAnswers(effects: readonly Effect[]): FinalAnswer[] {
  return effects.flatMap((effect) =>
    effect.kind === "finish" ? [effect.answer] : []
  );
}

/** Returns the refusal reason if the first final answer among effects is a refusal. */
export function refusalReason(effects: readonly Effect[]): string | undefined {
  const [answer] = finalAnswers(effects);
  return answer?.kind === "refused" ? answer.refusal.reason : undefined;
}
