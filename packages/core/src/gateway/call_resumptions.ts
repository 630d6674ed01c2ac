/**
 * Streams that a caller takes up after they broke off, and the records that make this possible at any entry.
 *
 * @module
 */
import {
  after,
  type Instant,
  type Milliseconds,
  milliseconds,
  type StreamKey,
} from "../ids/index.ts";
import {
  streamKey,
  type StreamOrigin,
  type StreamOrigins,
} from "../stream_origins/index.ts";
import type { Call, OpenAttempt, OriginSource } from "./call.ts";
import type { CallOutcomes } from "./call_outcomes.ts";
import type { CatalogueView } from "./catalogue_view.ts";
import type { CallAnswer } from "./messages.ts";
import type { SoftwareHistory, VersionKnowledge } from "./software_history.ts";

/** How long a record is kept after the caller's timeout, since callers and entries do not see its end at once. */
const RECORD_MARGIN_MS = 5_000;
/** Records of one attempt: when it is sent, and when a peer's answer states the origin. */
const REVISIONS_PER_ATTEMPT = 2;

/** Longest time for which a request waits until it is certain that its service has one version. */
const MAX_CONFIRMATION_MS = 1_000;

/** Dependencies of `CallResumptions`. */
export interface ResumptionDependencies {
  readonly origins: StreamOrigins;
  readonly outcomes: CallOutcomes;
  readonly history: SoftwareHistory;
  readonly catalogue: Pick<CatalogueView, "confirm" | "failing">;
  /** Whether an endpoint of an origin is published where the request may be served. */
  readonly isServed: (call: Call, origin: StreamOrigin) => boolean;
  readonly place: (call: Call, now: Instant) => void;
}

/** Continues streams only at the software version that began them. */
export class CallResumptions {
  readonly #deps: ResumptionDependencies;
  /** Requests of which a record was made. */
  readonly #recorded = new WeakSet<Call>();
  /** Requests that wait until the origin of their stream is known. */
  readonly #waiting = new Map<StreamKey, Set<Call>>();
  /** Requests that wait until it is certain that their service has had one version. */
  readonly #unconfirmed = new Set<Call>();

  constructor(deps: ResumptionDependencies) {
    this.#deps = deps;
  }

  /** Places a request that takes up a stream, holds it while other entries are asked, or refuses it. */
  begin(call: Call, now: Instant): void {
    const { resumedCall, relay } = call.head;
    if (relay?.origin !== undefined) {
      return this.#resume(call, { origin: relay.origin, source: "relay" }, now);
    }
    if (resumedCall?.kind === "malformed") {
      return this.#deps.outcomes.fail(call, "malformed_resumption", now);
    }
    if (resumedCall === undefined) {
      return this.#beginUnknown(call, now);
    }
    const key = streamKey(resumedCall.call);
    const found = this.#deps.origins.search(key, now);
    switch (found.kind) {
      case "known":
        return this.#resume(
          call,
          { origin: found.origin, source: "record" },
          now,
        );
      case "pending":
        // Asked for already now, since hardly any lookup fails where an entry knows the stream.
        this.#askIfUnconfirmed(call, now);
        return this.#hold(call, key);
      case "doubtful":
        return this.#deps.outcomes.fail(call, "stream_unknown", now);
      case "unknown":
        return this.#beginUnknown(call, now);
    }
  }

  /** A stream that no entry knows can still be taken up where there was no other version. */
  #beginUnknown(call: Call, now: Instant): void {
    const { catalogue, outcomes } = this.#deps;
    const known = this.#versionsOf(call, now);
    const mayWait = !catalogue.failing &&
      now - call.arrivedAt < MAX_CONFIRMATION_MS;
    if (known.kind === "sole") {
      const origin = { service: call.services[0]!, version: known.version };
      this.#resume(call, { origin, source: "catalogue" }, now);
    } else if (known.kind === "unconfirmed" && mayWait) {
      this.#unconfirmed.add(call);
      catalogue.confirm(now);
    } else {
      outcomes.fail(call, "stream_unknown", now);
    }
  }

  /** Decides about the requests that wait for certainty, after news of the catalogue or some time. */
  retryUnconfirmed(now: Instant): void {
    if (this.#unconfirmed.size > 0) {
      const calls = [...this.#unconfirmed];
      this.#unconfirmed.clear();
      calls.forEach((call) => this.#beginUnknown(call, now));
    }
  }

  #askIfUnconfirmed(call: Call, now: Instant): void {
    if (this.#versionsOf(call, now).kind === "unconfirmed") {
      this.#deps.catalogue.confirm(now);
    }
  }

  /** The versions that may have begun a request's stream, which began before the request arrived. */
  #versionsOf(call: Call, now: Instant): VersionKnowledge {
    const [service, ...others] = call.services;
    return others.length > 0 ? { kind: "unknown" } : this.#deps.history
      .versionsUntil(
        call.arrivedAt,
        { service: service!, within: longestStream(call) },
        now,
      );
  }

  /** Continues with the requests that waited for streams. */
  handleFound(keys: readonly StreamKey[], now: Instant): void {
    for (const key of keys) {
      const found = this.#deps.origins.search(key, now);
      for (const call of this.#takeWaiting(key)) {
        if (found.kind === "known") {
          this.#resume(call, { origin: found.origin, source: "peer" }, now);
        } else {
          this.#deps.outcomes.fail(call, "stream_unknown", now);
        }
      }
    }
  }

  /** Decides about the requests of streams that no entry knows. */
  handleUnknown(keys: readonly StreamKey[], now: Instant): void {
    for (const key of keys) {
      this.#takeWaiting(key).forEach((call) => this.#beginUnknown(call, now));
    }
  }

  /** Forgets a request that is over. */
  remove(call: Call): void {
    this.#unconfirmed.delete(call);
    const { resumedCall } = call.head;
    if (this.#waiting.size > 0 && resumedCall?.kind === "named") {
      const key = streamKey(resumedCall.call);
      this.#waiting.get(key)?.delete(call);
    }
  }

  /**
   * Records which software version a request is sent to. Other entries know it when the first event arrives, so that the
   * caller can take the stream up even if this entry ends at that moment.
   */
  noteSent(call: Call, { origin }: OpenAttempt, now: Instant): void {
    const { route } = call;
    const mayBegin = call.phase !== "answering" && route.kind === "stream" &&
      route.resumable;
    // A peer states the origin with its answer. Until then a record of an earlier attempt would be wrong.
    if (mayBegin && (origin !== undefined || this.#recorded.has(call))) {
      const revision = REVISIONS_PER_ATTEMPT * call.attempts;
      this.#record(call, { origin: call.origin ?? origin, revision }, now);
    }
  }

  /**
   * Binds a stream whose answer begins to what began it. From then on it can only go on at the same software version,
   * here and wherever its caller takes it up.
   */
  noteBegun(
    call: Call,
    { origin, target }: OpenAttempt,
    { answer, now }: { answer: CallAnswer; now: Instant },
  ): void {
    if (!answer.events) {
      return;
    }
    if (call.isResumption) {
      this.#deps.outcomes.logResumption(call);
    }
    if (!call.route.resumable) {
      return;
    }
    const source = target.kind === "peer" ? "relay" : "endpoint";
    const began = target.kind === "peer" ? answer.origin : origin;
    if (call.origin === undefined && began !== undefined) {
      call.bindOrigin(began, source);
    }
    if (call.origin !== undefined && target.kind === "peer") {
      const revision = REVISIONS_PER_ATTEMPT * call.attempts + 1;
      this.#record(call, { origin: call.origin, revision }, now);
    }
  }

  /**
   * Gives a stream up whose endpoint has restarted with other software: its events may be from either version, if it
   * was sent before this entry knew.
   */
  markDoubtful(call: Call, now: Instant): void {
    if (call.origin !== undefined) {
      const { version } = call.origin;
      this.#deps.outcomes.log("Version of a stream is in doubt.", call, {
        beganAt: version,
      });
      call.dropOrigin();
      this.#deps.origins.markDoubtful(keyOf(call), expiryOf(call), now);
    }
  }

  /** The first entry records a relayed request: another region may be asked in vain before one serves it. */
  #record(
    call: Call,
    record: { origin: StreamOrigin | undefined; revision: number },
    now: Instant,
  ): void {
    if (call.head.relay === undefined) {
      this.#recorded.add(call);
      const expiresAt = expiryOf(call);
      this.#deps.origins.record(keyOf(call), { ...record, expiresAt }, now);
    }
  }

  #resume(
    call: Call,
    { origin, source }: { origin: StreamOrigin; source: OriginSource },
    now: Instant,
  ): void {
    const isRouted = call.services.includes(origin.service);
    call.bindOrigin(origin, source);
    if (isRouted && this.#deps.isServed(call, origin)) {
      this.#deps.place(call, now);
    } else {
      this.#deps.outcomes.fail(call, "version_gone", now);
    }
  }

  #hold(call: Call, key: StreamKey): void {
    const calls = this.#waiting.get(key) ?? new Set();
    calls.add(call);
    this.#waiting.set(key, calls);
  }

  #takeWaiting(key: StreamKey): readonly Call[] {
    const calls = [...this.#waiting.get(key) ?? []];
    this.#waiting.delete(key);
    return calls;
  }
}

/** The key of a request's stream: that of the call that began it. */
function keyOf({ head, isResumption }: Call): StreamKey {
  const { resumedCall, call } = head;
  return streamKey(
    isResumption && resumedCall?.kind === "named" ? resumedCall.call : call,
  );
}

/** When a request's caller can no longer take its stream up. */
function expiryOf(call: Call): Instant {
  return after(call.arrivedAt, recordLifetime(call));
}

/** How long ago a stream may have begun that a request takes up. */
function longestStream(call: Call): Milliseconds {
  return milliseconds(
    Math.max(recordLifetime(call), call.route.timeout + RECORD_MARGIN_MS),
  );
}

/** How long after its arrival a request's caller may take its stream up. */
function recordLifetime({ head, route }: Call): Milliseconds {
  return milliseconds((head.timeLeft ?? route.timeout) + RECORD_MARGIN_MS);
}
