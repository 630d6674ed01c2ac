/**
 * Distinguishes crashed endpoints from broken connections.
 *
 * @module
 */
import {
  after,
  type AttemptId,
  type EndpointId,
  type Instant,
} from "../ids/index.ts";
import type { StallAdjustedClockView } from "../listening/index.ts";
import type { EndpointRecord } from "../routes/index.ts";
import type { RequestFingerprint } from "./fingerprint.ts";
import type { CrashSubject } from "./subject.ts";

/**
 * A lost attempt waits this long for a sign that its endpoint crashed. The platform removes a record after
 * three missed heartbeats, and entries read the removal within two seconds.
 */
const PENDING_LOSS_TIMEOUT_MS = 7_000;
/**
 * Bytes that arrive this soon after an attempt was lost were already in transit and do not show that the
 * endpoint is alive.
 */
const LATE_BYTES_MS = 100;
/**
 * A closed port may belong to an endpoint that accepts no more connections for now. If it is alive, its other
 * requests receive data within this time after the loss.
 */
const CLOSED_PORT_WAIT_MS = 150;
/**
 * An attempt counts as lost with its endpoint if nothing was received from there for this long, even if the
 * connection was not closed.
 */
const SILENCE_TIMEOUT_MS = 1_000;
/** Assumed time from the sending of a request to the crash if nothing was received in between. */
const ASSUMED_TIME_TO_CRASH_MS = 400;
/** All connections to a crashed endpoint break at once, and one probe of its port is enough for them. */
const PROBE_INTERVAL_MS = 500;
/** A crash is remembered this long, so that attempts lost shortly afterwards are added to it. */
const CRASH_MEMORY_MS = 10_000;

/** The part of an endpoint's state that its attempts see. */
export interface TrackedEndpoint {
  readonly record: EndpointRecord;
  /** When bytes were last received from the endpoint. */
  readonly heardAt: Instant | undefined;
}

/** An attempt in progress at an endpoint. */
export interface TrackedAttempt {
  readonly attempt: AttemptId;
  readonly fingerprint: RequestFingerprint;
  /** Path without its query, for operators. */
  readonly path: string;
  readonly sentAt: Instant;
  /** When its answer began; `undefined` until then. */
  readonly begunAt?: Instant;
  /** The subjects for which it was sent as a trial, because they were present at several crashes. */
  readonly trialOf: readonly CrashSubject[];
  /** Whether the answer is not being read because the caller's connection is full. */
  readonly readingPaused?: boolean;
  /** When reading resumed after that. */
  readonly readingResumedAt?: Instant;
}

/** An attempt that was lost with its endpoint, or may have been. */
export interface LostAttempt extends TrackedAttempt {
  readonly lostAt: Instant;
}

/** A crashed endpoint and the attempts that this entry lost there. */
export interface CrashedEndpoint {
  readonly record: EndpointRecord;
  readonly at: Instant;
  readonly attempts: readonly LostAttempt[];
}

interface EndpointAttempts {
  readonly endpoint: TrackedEndpoint;
  readonly open: Map<AttemptId, TrackedAttempt>;
  lost: LostAttempt[];
  /** Whether nothing listens at the endpoint's address any more. */
  portClosed: boolean;
  crashedAt: Instant | undefined;
  probedAt: Instant | undefined;
}

/**
 * Collects the attempts lost at each life of an endpoint until it is known whether the endpoint crashed.
 *
 * A connection may also break because of the network, or because the endpoint rejects requests that way. If
 * that counted as a crash, a few reset connections would be evidence against every request on them. A loss
 * therefore counts only once the endpoint is gone and if nothing was received from it since. An endpoint is
 * gone if its port is closed, its record was removed or names another life, or a peer reports the crash. An
 * endpoint that announced its shutdown, or whose record was removed before, ended as planned.
 */
export class CrashDetector {
  readonly #isRecordGone: (record: EndpointRecord) => boolean;
  readonly #clock: StallAdjustedClockView;
  readonly #endpoints = new Map<string, EndpointAttempts>();

  constructor(
    isRecordGone: (record: EndpointRecord) => boolean,
    clock: StallAdjustedClockView,
  ) {
    this.#isRecordGone = isRecordGone;
    this.#clock = clock;
  }

  /** Records that a request was sent. */
  noteSent(endpoint: TrackedEndpoint, attempt: TrackedAttempt): void {
    this.#findOrAdd(endpoint).open.set(attempt.attempt, attempt);
  }

  /**
   * Records that an answer is not being read because the caller's connection is full, or that reading
   * resumed.
   */
  noteBackpressure(
    endpoint: TrackedEndpoint,
    id: AttemptId,
    { held, now }: { held: boolean; now: Instant },
  ): void {
    const { open } = this.#findOrAdd(endpoint);
    const attempt = open.get(id);
    if (attempt !== undefined) {
      const resumed = held ? {} : { readingResumedAt: now };
      open.set(id, { ...attempt, readingPaused: held, ...resumed });
    }
  }

  /** Records that the answer to a request has begun. */
  noteBegun(endpoint: TrackedEndpoint, id: AttemptId, now: Instant): void {
    const { open } = this.#findOrAdd(endpoint);
    const attempt = open.get(id);
    if (attempt !== undefined) {
      open.set(id, { ...attempt, begunAt: now });
    }
  }

  /**
   * Records that a request was answered, or abandoned while its endpoint answers others. Returns the attempt, unless it
   * is not known.
   */
  noteEnded(
    endpoint: TrackedEndpoint,
    id: AttemptId,
  ): TrackedAttempt | undefined {
    const { open } = this.#findOrAdd(endpoint);
    const attempt = open.get(id);
    open.delete(id);
    return attempt;
  }

  /** Records that an answer broke off, failed, or was no longer waited for. */
  noteLost(endpoint: TrackedEndpoint, id: AttemptId, now: Instant): void {
    const tracked = this.#findOrAdd(endpoint);
    const attempt = tracked.open.get(id);
    tracked.open.delete(id);
    const planned = endpoint.record.state === "draining" ||
      (tracked.crashedAt === undefined && this.#isRecordGone(endpoint.record));
    if (attempt !== undefined && !planned) {
      const lostAt = this.#isSilent(endpoint, attempt, now)
        ? estimateCrashTime(endpoint, attempt)
        : now;
      tracked.lost.push({ ...attempt, lostAt });
    }
  }

  /** Whether to probe the port of an endpoint after a loss. */
  shouldProbe(endpoint: TrackedEndpoint, now: Instant): boolean {
    const tracked = this.#endpoints.get(keyOf(endpoint.record));
    const due = tracked !== undefined && tracked.lost.length > 0 &&
      tracked.crashedAt === undefined &&
      now - (tracked.probedAt ?? -Infinity) >= PROBE_INTERVAL_MS;
    if (due) {
      tracked.probedAt = now;
    }
    return due;
  }

  /** Records that nothing listens at an endpoint's address. */
  notePortClosed(endpoint: Pick<EndpointRecord, "id" | "life">): void {
    const tracked = this.#endpoints.get(keyOf(endpoint));
    if (tracked !== undefined) {
      tracked.portClosed = true;
    }
  }

  /** Records that a peer reported the crash of an endpoint. */
  noteReported(
    { id, life }: Pick<EndpointRecord, "id" | "life">,
    now: Instant,
  ): void {
    const tracked = this.#endpoints.get(keyOf({ id, life }));
    if (tracked !== undefined) {
      tracked.crashedAt ??= now;
    }
  }

  /**
   * Returns the endpoints that are known to have crashed, each with the attempts lost there since the last
   * call.
   */
  takeCrashed(now: Instant): CrashedEndpoint[] {
    const crashed: CrashedEndpoint[] = [];
    for (const [key, tracked] of this.#endpoints) {
      this.#dropUnrelatedLosses(tracked, now);
      resetIfRestarted(tracked);
      if (this.#hasCrashed(tracked, now)) {
        tracked.crashedAt ??= now;
        this.#moveSilentToLost(tracked, now);
        crashed.push(...takeLost(tracked));
      }
      if (isIdle(tracked, now)) {
        this.#endpoints.delete(key);
      }
    }
    return crashed;
  }

  #findOrAdd(endpoint: TrackedEndpoint): EndpointAttempts {
    const key = keyOf(endpoint.record);
    const existing = this.#endpoints.get(key);
    if (existing !== undefined) {
      return existing;
    }
    const tracked: EndpointAttempts = {
      endpoint,
      open: new Map(),
      lost: [],
      portClosed: false,
      crashedAt: undefined,
      probedAt: undefined,
    };
    this.#endpoints.set(key, tracked);
    return tracked;
  }

  /**
   * Drops losses with another cause: those after which the endpoint gave a sign of life, and those too long
   * ago.
   */
  #dropUnrelatedLosses(tracked: EndpointAttempts, now: Instant): void {
    const { heardAt } = tracked.endpoint;
    const lossesBefore = tracked.lost.length;
    tracked.lost = tracked.lost.filter(({ lostAt }) =>
      (heardAt ?? -Infinity) <= lostAt + LATE_BYTES_MS &&
      now - lostAt < PENDING_LOSS_TIMEOUT_MS
    );
    if (lossesBefore > 0 && tracked.lost.length === 0) {
      tracked.portClosed = false;
    }
  }

  #hasCrashed(
    { endpoint, lost, portClosed, crashedAt, open }: EndpointAttempts,
    now: Instant,
  ): boolean {
    if (crashedAt !== undefined) {
      return true;
    }
    if (endpoint.record.state === "draining") {
      return false;
    }
    const confirmedClosed = portClosed &&
      lost.some(({ lostAt }) =>
        this.#clock.since(lostAt, now) >= CLOSED_PORT_WAIT_MS
      );
    return confirmedClosed ||
      this.#isRecordGone(endpoint.record) &&
        (lost.length > 0 || this.#hasSilentAttempt(endpoint, open, now));
  }

  /**
   * Counts silent attempts as lost. The host of the endpoint may have failed without closing its connections.
   */
  #moveSilentToLost(
    { endpoint, open, lost }: EndpointAttempts,
    now: Instant,
  ): void {
    for (const [id, attempt] of open) {
      if (this.#isSilent(endpoint, attempt, now)) {
        open.delete(id);
        lost.push({ ...attempt, lostAt: estimateCrashTime(endpoint, attempt) });
      }
    }
  }

  #hasSilentAttempt(
    endpoint: TrackedEndpoint,
    open: ReadonlyMap<AttemptId, TrackedAttempt>,
    now: Instant,
  ): boolean {
    return [...open.values()].some((attempt) =>
      this.#isSilent(endpoint, attempt, now)
    );
  }

  /**
   * Whether no data was received for an attempt for too long. Time during which this process was paused, or
   * did not read the answer because the caller's connection was full, does not count: an endpoint that
   * answers would be taken for a crashed one.
   */
  #isSilent(
    endpoint: TrackedEndpoint,
    attempt: TrackedAttempt,
    now: Instant,
  ): boolean {
    return attempt.readingPaused !== true &&
      this.#clock.since(lastHeardAt(endpoint, attempt), now) >=
        SILENCE_TIMEOUT_MS;
  }
}

/**
 * Returns the time from which the silence of an attempt counts: the last data from the endpoint, the sending
 * of the request or the resumption of reading, whichever came last.
 */
function lastHeardAt(
  { heardAt }: TrackedEndpoint,
  { sentAt, readingResumedAt }: TrackedAttempt,
): Instant {
  return Math.max(
    heardAt ?? -Infinity,
    sentAt,
    readingResumedAt ?? -Infinity,
  ) as Instant;
}

/**
 * Estimates when an endpoint crashed that closed no connection: at its last sign of life, or some time after
 * the request was sent.
 */
function estimateCrashTime(
  { heardAt }: TrackedEndpoint,
  { sentAt }: TrackedAttempt,
): Instant {
  return heardAt !== undefined && heardAt > sentAt
    ? heardAt
    : after(sentAt, ASSUMED_TIME_TO_CRASH_MS);
}

/**
 * Resets the state of an endpoint that sends data after its crash: it restarted without announcing a new
 * life.
 */
function resetIfRestarted(tracked: EndpointAttempts): void {
  const { endpoint: { heardAt }, crashedAt } = tracked;
  const restarted = crashedAt !== undefined && heardAt !== undefined &&
    heardAt > crashedAt + LATE_BYTES_MS;
  if (restarted) {
    tracked.crashedAt = undefined;
    tracked.portClosed = false;
  }
}

function takeLost(tracked: EndpointAttempts): CrashedEndpoint[] {
  const { endpoint: { record }, lost } = tracked;
  if (lost.length === 0) {
    return [];
  }
  tracked.lost = [];
  const at = Math.min(...lost.map(({ lostAt }) => lostAt)) as Instant;
  return [{ record, at, attempts: lost }];
}

function isIdle(
  { open, lost, crashedAt }: EndpointAttempts,
  now: Instant,
): boolean {
  const recentlyCrashed = crashedAt !== undefined &&
    now - crashedAt < CRASH_MEMORY_MS;
  return open.size === 0 && lost.length === 0 && !recentlyCrashed;
}

function keyOf(
  { id, life }: { id: EndpointId; life: EndpointRecord["life"] },
): string {
  return `${id} ${life ?? ""}`;
}
