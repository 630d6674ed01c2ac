/**
 * Quarantine for requests that name a service: connects the quarantine controller to the endpoints, whose
 * lives are known from their load reports, and to the other entries of the region.
 *
 * Requests of a home-bound customer run in its home region only. Evidence is therefore collected for each
 * region on its own, and no digest of a body leaves the region. Requests that are forwarded to another region
 * are counted there.
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
import type { StallAdjustedClockView } from "../listening/index.ts";
import type { Attempt, Emit, MemberRecord } from "../messages/index.ts";
import {
  EMPTY_QUARANTINE_UPDATE,
  QuarantineController,
  type QuarantineUpdate,
  type RequestFingerprint,
  type TrackedEndpoint,
} from "../quarantine/index.ts";
import type { EndpointRecord } from "../routes/index.ts";
import type { AttemptState } from "../verdict/index.ts";
import type { ActiveRequest } from "./active_request.ts";

/** Number of characters of a content digest that is sent to peers. */
const SENT_DIGEST_CHARACTERS = 16;
/** Retry time for a request while a copy of it runs as a trial, whose outcome is known by then. */
const TRIAL_WAIT_MS = 2_000;
/** Time between two messages with current holds, each to the next peer in turn, so that restarted entries get them. */
const HOLDS_SEND_PERIOD_MS = 2_000;
/** Time after which the map of endpoint records is built again. */
const RECORDS_LIFETIME_MS = 250;

/** Placeholder for the sender of received updates, who is not named. Only claims need it, and none are made here. */
const NO_SENDER = "" as Incarnation;

type MutableWatchedEndpoint = {
  -readonly [Field in keyof TrackedEndpoint]: TrackedEndpoint[Field];
};

/** Holds back requests that crash the endpoints that run them. */
export class RequestQuarantine {
  readonly #board: Blackboard;
  readonly #emit: Emit;
  readonly #controller: QuarantineController;
  readonly #watched = new Map<EndpointId, MutableWatchedEndpoint>();
  #records: ReadonlyMap<EndpointId, EndpointRecord> = new Map();
  #recordsAt = -Infinity;
  #now: Instant;
  #nextHoldsAt = -Infinity;
  #peerIndex = 0;

  constructor(
    board: Blackboard,
    { emit, clock, now }: {
      emit: Emit;
      clock: StallAdjustedClockView;
      now: Instant;
    },
  ) {
    this.#board = board;
    this.#emit = emit;
    this.#now = now;
    this.#controller = new QuarantineController({
      self: board.self,
      clock,
      claimDelay: milliseconds(0),
      endpoints: () => this.#listedEndpoints(),
      servingEntries: () => [
        board.self.incarnation,
        ...this.#livePeers().map(({ incarnation }) => incarnation),
      ],
      // No trials are claimed here, and a request waits for the answer to the one before.
      noteOnTrial: () => {},
      peerCount: () => this.#livePeers().length,
      // A load poll shows whether the endpoint is running.
      probePort: ({ id, address: url }) =>
        emit({ kind: "pollLoad", endpoint: id, url }),
      send: (news) => this.#broadcast(news),
      log: (part, text, fields) => emit({ kind: "log", part, text, fields }),
    });
  }

  /** Number of requests that are held back. */
  get held(): number {
    return this.#controller.holds.size;
  }

  /** Returns the time after which to retry a request that is held back, `undefined` if it may run now. */
  waitIfHeld(request: ActiveRequest, now: Instant): Milliseconds | undefined {
    this.#now = now;
    const verdict = this.#controller.check({
      id: request.head.id,
      fingerprint: fingerprintOf(request),
      services: [poolOf(request)],
      mayServe: () => true,
    }, now);
    switch (verdict.kind) {
      case "held":
        return verdict.wait;
      case "wait":
        return milliseconds(TRIAL_WAIT_MS);
      default:
        return undefined;
    }
  }

  /** Whether a request whose attempt was lost may be sent to another endpoint. */
  mayRepeat(request: ActiveRequest): boolean {
    return !this.#controller.isSuspect(fingerprintOf(request), this.#now);
  }

  /** Records that an attempt is being written to its endpoint. */
  attemptStarted(
    request: ActiveRequest,
    { id, target }: Attempt,
    now: Instant,
  ): void {
    const watched = target.kind === "endpoint"
      ? this.#findOrWatch(target.endpoint)
      : undefined;
    if (watched !== undefined) {
      const fingerprint = fingerprintOf(request);
      const path = request.service.id;
      const run = { attempt: id, fingerprint, path, sentAt: now };
      this.#controller.noteSent(watched, run, request.head.id);
    }
  }

  /** Records the end of an attempt. */
  attemptEnded(
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
    this.#controller.noteOutcome(
      watched,
      { attempt: id, fingerprint, end },
      now,
    );
    if (end === "lost") {
      this.#controller.noteBrokenConnection(watched, now);
    }
  }

  /** Records that bytes or a load report arrived from an endpoint. */
  endpointResponded(endpoint: EndpointId, now: Instant): void {
    const watched = this.#watched.get(endpoint);
    if (watched !== undefined) {
      watched.heardAt = now;
    }
  }

  /** Records that an endpoint did not answer a load poll. */
  loadPollFailed(endpoint: EndpointId): void {
    this.#controller.notePortClosed({ id: endpoint, life: undefined });
  }

  /** Applies a peer's quarantine update. */
  learn(news: QuarantineUpdate, now: Instant): void {
    this.#now = now;
    this.#controller.apply(news, NO_SENDER, now);
  }

  tick(now: Instant): void {
    this.#now = now;
    this.#controller.tick(now);
    if (now >= this.#nextHoldsAt) {
      this.#nextHoldsAt = now + HOLDS_SEND_PERIOD_MS;
      this.#sendHolds(now);
      this.#forgetRemovedEndpoints();
    }
  }

  #sendHolds(now: Instant): void {
    const peers = this.#livePeers();
    const holds = this.#controller.holds.nextNotices(now);
    if (holds.length > 0 && peers.length > 0) {
      this.#peerIndex++;
      const { controlUrl: url } = peers[this.#peerIndex % peers.length]!;
      const news = { ...EMPTY_QUARANTINE_UPDATE, holds };
      this.#emit({ kind: "sendQuarantine", url, news });
    }
  }

  #broadcast(news: QuarantineUpdate): void {
    for (const { controlUrl: url } of this.#livePeers()) {
      this.#emit({ kind: "sendQuarantine", url, news });
    }
  }

  /** Returns the live other entries of the region. */
  #livePeers(): MemberRecord[] {
    const { membership, self } = this.#board;
    return [...membership.members.values()]
      .filter(({ health, record }) =>
        health === "live" && record.region === self.region
      )
      .map(({ record }) => record);
  }

  #findOrWatch(id: EndpointId): MutableWatchedEndpoint | undefined {
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

  #forgetRemovedEndpoints(): void {
    const { endpoints } = this.#board.endpoints;
    for (const id of this.#watched.keys()) {
      if (!endpoints.has(id)) {
        this.#watched.delete(id);
      }
    }
  }

  #listedEndpoints(): ReadonlyMap<EndpointId, EndpointRecord> {
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

/** Whether the platform's list contains the endpoint. A leaving endpoint is listed until it has ended. */
function isListed({ state, leaving }: Endpoint): boolean {
  return state !== "draining" || leaving !== undefined;
}

function recordOf({ vm, load, leaving }: Endpoint): EndpointRecord {
  return {
    id: vm.id,
    service: vm.pool as ServiceId,
    address: vm.url,
    zone: vm.zone,
    // The VM list has no software version.
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
    content: content.slice(0, SENT_DIGEST_CHARACTERS) as ContentDigest,
    caller: customer.id as string as CallerDigest,
  };
}
