/**
 * The quarantine's view of requests that name a service: its endpoints' lives by their load reports, and
 * the other entries of the region.
 *
 * A home-bound customer's requests run in its home alone, so that a region adds up for itself and no digest
 * of a body leaves it; what a region's entries pass on to another one is counted there.
 *
 * @module
 */
import type { Blackboard, Endpoint } from "../blackboard/index.ts";
import {
  type CallerDigest,
  type ContentDigest,
  type EndpointId,
  type Incarnation,
  type Instant,
  type Milliseconds,
  milliseconds,
  type ServiceId,
  sha256,
} from "../ids/index.ts";
import type { ListenedTimeView } from "../listening/index.ts";
import type { Attempt, Emit, MemberRecord } from "../messages/index.ts";
import {
  NOTHING_NEW,
  QuarantineController,
  type QuarantineNews,
  type RequestFingerprint,
  type WatchedEndpoint,
} from "../quarantine/index.ts";
import type { EndpointRecord } from "../routes/index.ts";
import type { AttemptState } from "../verdict/index.ts";
import type { ActiveRequest } from "./active_request.ts";

/** Characters of a digest that is told. */
const DIGEST_LENGTH = 16;
/** When a copy of a request that is tried just now may be asked for again: its end is known by then. */
const TRIED_WAIT_MS = 2_000;
/** Between two tellings of holds to one entry in turn: who starts anew learns of them so. */
const TELL_PERIOD_MS = 2_000;
/** The list of endpoints is made anew after so long. */
const RECORDS_LIFETIME_MS = 250;

/** News name no sender: claims are not made here. */
const NOBODY = "" as Incarnation;

type Watched = {
  -readonly [Field in keyof WatchedEndpoint]: WatchedEndpoint[Field];
};

/** Holds back requests that crash what runs them. */
export class RequestQuarantine {
  readonly #board: Blackboard;
  readonly #emit: Emit;
  readonly #controller: QuarantineController;
  readonly #watched = new Map<EndpointId, Watched>();
  #records: ReadonlyMap<EndpointId, EndpointRecord> = new Map();
  #recordsAt = -Infinity;
  #now: Instant;
  #nextTellAt = -Infinity;
  #turn = 0;

  constructor(
    board: Blackboard,
    { emit, listened, now }: {
      emit: Emit;
      listened: ListenedTimeView;
      now: Instant;
    },
  ) {
    this.#board = board;
    this.#emit = emit;
    this.#now = now;
    this.#controller = new QuarantineController({
      self: board.self,
      listened,
      claimTime: milliseconds(0),
      endpoints: () => this.#present(),
      carriers: () => [
        board.self.incarnation,
        ...this.#members().map(({ incarnation }) => incarnation),
      ],
      // A poll of its load tells whether an endpoint is there.
      knock: ({ id, address: url }) =>
        emit({ kind: "pollLoad", endpoint: id, url }),
      tell: (news) => this.#tell(news),
      log: (part, text, fields) => emit({ kind: "log", part, text, fields }),
    });
  }

  /** Requests held back. */
  get held(): number {
    return this.#controller.holds.size;
  }

  /** When a request may be asked for again, `undefined` where it may go to an endpoint now. */
  judge(request: ActiveRequest, now: Instant): Milliseconds | undefined {
    this.#now = now;
    const verdict = this.#controller.judge({
      id: request.head.id,
      fingerprint: fingerprintOf(request),
      services: [poolOf(request)],
    }, now);
    switch (verdict.kind) {
      case "held":
        return verdict.wait;
      case "wait":
        return milliseconds(TRIED_WAIT_MS);
      default:
        return undefined;
    }
  }

  /** Whether a request that was lost with its endpoint may be sent to another. */
  mayRepeat(request: ActiveRequest): boolean {
    return !this.#controller.isSuspect(fingerprintOf(request));
  }

  /** An attempt is written to its endpoint. */
  began(request: ActiveRequest, { id, target }: Attempt, now: Instant): void {
    const watched = target.kind === "endpoint"
      ? this.#watch(target.endpoint)
      : undefined;
    if (watched !== undefined) {
      const fingerprint = fingerprintOf(request);
      const path = request.service.id;
      const run = { attempt: id, fingerprint, path, sentAt: now };
      this.#controller.began(watched, run, request.head.id);
    }
  }

  /** An attempt is over. */
  ended(
    request: ActiveRequest,
    { attempt, state }: { attempt: Attempt; state: AttemptState },
    now: Instant,
  ): void {
    const { target, id } = attempt;
    const watched = target.kind === "endpoint"
      ? this.#watched.get(target.endpoint)
      : undefined;
    if (watched === undefined || state === "unsent") {
      return;
    }
    this.#now = now;
    const end = state === "completed"
      ? "answered"
      : state === "lost"
      ? "lost"
      : "refused";
    const fingerprint = fingerprintOf(request);
    this.#controller.ended(watched, { attempt: id, fingerprint, end }, now);
    if (end === "lost") {
      this.#controller.broken(watched, now);
    }
  }

  /** Bytes or a load report came from an endpoint. */
  heard(endpoint: EndpointId, now: Instant): void {
    const watched = this.#watched.get(endpoint);
    if (watched !== undefined) {
      watched.heardAt = now;
    }
  }

  /** An endpoint does not report its load. */
  silent(endpoint: EndpointId): void {
    this.#controller.refused({ id: endpoint, life: undefined });
  }

  /** Takes a peer's news. */
  learn(news: QuarantineNews, now: Instant): void {
    this.#now = now;
    this.#controller.learn(news, NOBODY, now);
  }

  tick(now: Instant): void {
    this.#now = now;
    this.#controller.tick(now);
    if (now >= this.#nextTellAt) {
      this.#nextTellAt = now + TELL_PERIOD_MS;
      this.#tellHolds(now);
      this.#forgetGone();
    }
  }

  #tellHolds(now: Instant): void {
    const members = this.#members();
    const holds = this.#controller.holds.next(now);
    if (holds.length > 0 && members.length > 0) {
      this.#turn++;
      const { controlUrl: url } = members[this.#turn % members.length]!;
      const news = { ...NOTHING_NEW, holds };
      this.#emit({ kind: "sendQuarantine", url, news });
    }
  }

  #tell(news: QuarantineNews): void {
    for (const { controlUrl: url } of this.#members()) {
      this.#emit({ kind: "sendQuarantine", url, news });
    }
  }

  /** Other entries of the region that are heard. */
  #members(): MemberRecord[] {
    const { membership, self } = this.#board;
    return [...membership.members.values()]
      .filter(({ health, record }) =>
        health === "live" && record.region === self.region
      )
      .map(({ record }) => record);
  }

  #watch(id: EndpointId): Watched | undefined {
    const endpoint = this.#board.endpoints.endpoints.get(id);
    if (endpoint === undefined) {
      return this.#watched.get(id);
    }
    const record = recordOf(endpoint);
    const known = this.#watched.get(id);
    if (known !== undefined) {
      known.record = record;
      return known;
    }
    const watched = { record, heardAt: undefined };
    this.#watched.set(id, watched);
    return watched;
  }

  #forgetGone(): void {
    const { endpoints } = this.#board.endpoints;
    for (const id of this.#watched.keys()) {
      if (!endpoints.has(id)) {
        this.#watched.delete(id);
      }
    }
  }

  #present(): ReadonlyMap<EndpointId, EndpointRecord> {
    if (this.#now - this.#recordsAt >= RECORDS_LIFETIME_MS) {
      this.#recordsAt = this.#now;
      this.#records = new Map(
        [...this.#board.endpoints.endpoints.values()]
          .filter(isListed)
          .map((endpoint) => [endpoint.vm.id, recordOf(endpoint)]),
      );
    }
    return this.#records;
  }
}

/** Whether the platform's list has it; one that leaves is there until it has ended. */
function isListed({ state, leaving }: Endpoint): boolean {
  return state !== "draining" || leaving !== undefined;
}

function recordOf({ vm, load, leaving }: Endpoint): EndpointRecord {
  return {
    id: vm.id,
    service: vm.pool as ServiceId,
    address: vm.url,
    zone: vm.zone,
    // The list of VMs tells none.
    softwareVersion: "",
    slots: load?.slots ?? 0,
    state: leaving === undefined ? "ready" : "draining",
    coldFor: milliseconds(0),
    leavesIn: undefined,
    life: undefined,
    sequence: 0,
  };
}

function poolOf({ service }: ActiveRequest): ServiceId {
  return (service.kind === "model" ? service.pool : service.id) as ServiceId;
}

function fingerprintOf(
  { customer, facts, service }: ActiveRequest,
): RequestFingerprint {
  const content = sha256(`${service.id} ${facts?.digest ?? ""}`);
  return {
    content: content.slice(0, DIGEST_LENGTH) as ContentDigest,
    caller: customer.id as string as CallerDigest,
  };
}
