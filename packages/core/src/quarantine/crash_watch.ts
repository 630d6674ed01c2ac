/**
 * Tells the end of an endpoint from a connection that broke.
 *
 * @module
 */
import {
  after,
  type AttemptId,
  type EndpointId,
  type Instant,
} from "../ids/index.ts";
import type { ListenedTimeView } from "../listening/index.ts";
import type { EndpointRecord } from "../routes/index.ts";
import type { RequestFingerprint } from "./fingerprint.ts";

/**
 * A lost attempt waits this long for word that its endpoint ended: the platform takes a record away after
 * three beats without one, and entries read it within two seconds.
 */
const PENDING_MS = 7_000;
/** Bytes that were under way when an attempt was lost are no sign of life. */
const STRAGGLER_MS = 100;
/**
 * A closed port may be an endpoint that takes no more connections at present: one that lives is heard from,
 * by the other requests there, before so much time has passed since the loss.
 */
const LIFE_WAIT_MS = 150;
/** An attempt from whose endpoint nothing was heard for so long is lost with it, closed or not. */
const SILENT_MS = 1_000;
/** Taken for the time from a request to the end of its endpoint where nothing was heard in between. */
const UNHEARD_MS = 400;
/** All connections to an endpoint that ended break at once: one look at its port is enough for them. */
const KNOCK_PAUSE_MS = 500;
/** Endpoints that ended, remembered so that what is lost there a moment later counts with them. */
const ENDED_MEMORY_MS = 10_000;

/** An endpoint as its attempts see it. */
export interface WatchedEndpoint {
  readonly record: EndpointRecord;
  /** When bytes last came from it. */
  readonly heardAt: Instant | undefined;
}

/** A request at an endpoint. */
export interface WatchedRun {
  readonly attempt: AttemptId;
  readonly fingerprint: RequestFingerprint;
  /** Path without its query, for operators. */
  readonly path: string;
  readonly sentAt: Instant;
  /** Whether it was sent by itself, as it had been at several ends. */
  readonly trial: boolean;
  /** Whether its answer is not read, because its caller has no room. */
  readonly held?: boolean;
  /** When it was read again after that. */
  readonly readAgainAt?: Instant;
}

/** A request that was at an endpoint when that ended. */
export interface LostRun extends WatchedRun {
  readonly lostAt: Instant;
}

/** An endpoint that has ended, with what this entry had there. */
export interface EndedEndpoint {
  readonly record: EndpointRecord;
  readonly at: Instant;
  readonly runs: readonly LostRun[];
}

interface Watched {
  readonly endpoint: WatchedEndpoint;
  readonly open: Map<AttemptId, WatchedRun>;
  lost: LostRun[];
  /** Nothing listens at its address any more. */
  refused: boolean;
  endedAt: Instant | undefined;
  knockedAt: Instant | undefined;
}

/**
 * Collects what was lost at each life of an endpoint until it is known whether the endpoint ended.
 *
 * A connection that breaks may be the network's doing, or the endpoint's way of refusing. Taken for a
 * crash, a reset of some connections would speak against every request on them. So a loss counts only
 * once the endpoint is gone: nothing listens at its address, its record is taken away or tells another
 * life, or a peer says so; and only where nothing was heard from it since. An endpoint that had told that
 * it leaves, or whose record was gone before, has ended as planned.
 */
export class CrashWatch {
  readonly #isGone: (record: EndpointRecord) => boolean;
  readonly #listened: ListenedTimeView;
  readonly #watched = new Map<string, Watched>();

  constructor(
    isGone: (record: EndpointRecord) => boolean,
    listened: ListenedTimeView,
  ) {
    this.#isGone = isGone;
    this.#listened = listened;
  }

  /** A request was sent. */
  began(endpoint: WatchedEndpoint, run: WatchedRun): void {
    this.#of(endpoint).open.set(run.attempt, run);
  }

  /** An answer is not read because its caller has no room, or is read again. */
  held(
    endpoint: WatchedEndpoint,
    attempt: AttemptId,
    { held, now }: { held: boolean; now: Instant },
  ): void {
    const { open } = this.#of(endpoint);
    const run = open.get(attempt);
    if (run !== undefined) {
      const readAgain = held ? {} : { readAgainAt: now };
      open.set(attempt, { ...run, held, ...readAgain });
    }
  }

  /** A request was answered, or left while its endpoint answers others. */
  ended(endpoint: WatchedEndpoint, attempt: AttemptId): void {
    this.#of(endpoint).open.delete(attempt);
  }

  /** A request's answer broke off, failed, or was not waited for any longer. */
  lost(endpoint: WatchedEndpoint, attempt: AttemptId, now: Instant): void {
    const watched = this.#of(endpoint);
    const run = watched.open.get(attempt);
    watched.open.delete(attempt);
    const planned = endpoint.record.state === "draining" ||
      (watched.endedAt === undefined && this.#isGone(endpoint.record));
    if (run !== undefined && !planned) {
      const lostAt = this.#isSilent(endpoint, run, now)
        ? silentSince(endpoint, run)
        : now;
      watched.lost.push({ ...run, lostAt });
    }
  }

  /** Whether to see, after a loss, if something still listens at an endpoint's address. */
  isToKnock(endpoint: WatchedEndpoint, now: Instant): boolean {
    const watched = this.#watched.get(keyOf(endpoint.record));
    const due = watched !== undefined && watched.lost.length > 0 &&
      watched.endedAt === undefined &&
      now - (watched.knockedAt ?? -Infinity) >= KNOCK_PAUSE_MS;
    if (due) {
      watched.knockedAt = now;
    }
    return due;
  }

  /** Nothing listens at an endpoint's address. */
  refused(endpoint: Pick<EndpointRecord, "id" | "life">): void {
    const watched = this.#watched.get(keyOf(endpoint));
    if (watched !== undefined) {
      watched.refused = true;
    }
  }

  /** A peer saw an endpoint's end. */
  told(
    { id, life }: Pick<EndpointRecord, "id" | "life">,
    now: Instant,
  ): void {
    const watched = this.#watched.get(keyOf({ id, life }));
    if (watched !== undefined) {
      watched.endedAt ??= now;
    }
  }

  /** Endpoints of which it is known by now that they ended, each with what was lost there since the last call. */
  takeEnded(now: Instant): EndedEndpoint[] {
    const ended: EndedEndpoint[] = [];
    for (const [key, watched] of this.#watched) {
      this.#dropLiving(watched, now);
      noteReturn(watched);
      if (this.#hasEnded(watched, now)) {
        watched.endedAt ??= now;
        this.#loseSilent(watched, now);
        ended.push(...takeLost(watched));
      }
      if (isIdle(watched, now)) {
        this.#watched.delete(key);
      }
    }
    return ended;
  }

  #of(endpoint: WatchedEndpoint): Watched {
    const key = keyOf(endpoint.record);
    const known = this.#watched.get(key);
    if (known !== undefined) {
      return known;
    }
    const watched: Watched = {
      endpoint,
      open: new Map(),
      lost: [],
      refused: false,
      endedAt: undefined,
      knockedAt: undefined,
    };
    this.#watched.set(key, watched);
    return watched;
  }

  /** What was lost before the endpoint gave a sign of life, or too long ago, has another cause. */
  #dropLiving(watched: Watched, now: Instant): void {
    const { heardAt } = watched.endpoint;
    const before = watched.lost.length;
    watched.lost = watched.lost.filter(({ lostAt }) =>
      (heardAt ?? -Infinity) <= lostAt + STRAGGLER_MS &&
      now - lostAt < PENDING_MS
    );
    if (before > 0 && watched.lost.length === 0) {
      watched.refused = false;
    }
  }

  #hasEnded(
    { endpoint, lost, refused, endedAt, open }: Watched,
    now: Instant,
  ): boolean {
    if (endedAt !== undefined) {
      return true;
    }
    if (endpoint.record.state === "draining") {
      return false;
    }
    const closed = refused &&
      lost.some(({ lostAt }) =>
        this.#listened.since(lostAt, now) >= LIFE_WAIT_MS
      );
    return closed ||
      this.#isGone(endpoint.record) &&
        (lost.length > 0 || this.#hasSilent(endpoint, open, now));
  }

  /** An endpoint that went dark closes nothing. */
  #loseSilent({ endpoint, open, lost }: Watched, now: Instant): void {
    for (const [attempt, run] of open) {
      if (this.#isSilent(endpoint, run, now)) {
        open.delete(attempt);
        lost.push({ ...run, lostAt: silentSince(endpoint, run) });
      }
    }
  }

  #hasSilent(
    endpoint: WatchedEndpoint,
    open: ReadonlyMap<AttemptId, WatchedRun>,
    now: Instant,
  ): boolean {
    return [...open.values()].some((run) => this.#isSilent(endpoint, run, now));
  }

  /**
   * What came during a pause, or is held back for its caller, is yet to be read: an endpoint that answers
   * would count as ended.
   */
  #isSilent(
    endpoint: WatchedEndpoint,
    run: WatchedRun,
    now: Instant,
  ): boolean {
    return run.held !== true &&
      this.#listened.since(lastHeard(endpoint, run), now) >= SILENT_MS;
  }
}

/** When an attempt, or another one at its endpoint, last heard from there. */
function lastHeard(
  { heardAt }: WatchedEndpoint,
  { sentAt, readAgainAt }: WatchedRun,
): Instant {
  return Math.max(
    heardAt ?? -Infinity,
    sentAt,
    readAgainAt ?? -Infinity,
  ) as Instant;
}

/** When an endpoint ended that closed nothing: after its last word, or some time after the request. */
function silentSince(
  { heardAt }: WatchedEndpoint,
  { sentAt }: WatchedRun,
): Instant {
  return heardAt !== undefined && heardAt > sentAt
    ? heardAt
    : after(sentAt, UNHEARD_MS);
}

/** An endpoint that is heard from after its end has started again without telling a new life. */
function noteReturn(watched: Watched): void {
  const { endpoint: { heardAt }, endedAt } = watched;
  const returned = endedAt !== undefined && heardAt !== undefined &&
    heardAt > endedAt + STRAGGLER_MS;
  if (returned) {
    watched.endedAt = undefined;
    watched.refused = false;
  }
}

function takeLost(watched: Watched): EndedEndpoint[] {
  const { endpoint: { record }, lost } = watched;
  if (lost.length === 0) {
    return [];
  }
  watched.lost = [];
  const at = Math.min(...lost.map(({ lostAt }) => lostAt)) as Instant;
  return [{ record, at, runs: lost }];
}

function isIdle({ open, lost, endedAt }: Watched, now: Instant): boolean {
  const remembered = endedAt !== undefined && now - endedAt < ENDED_MEMORY_MS;
  return open.size === 0 && lost.length === 0 && !remembered;
}

function keyOf(
  { id, life }: { id: EndpointId; life: EndpointRecord["life"] },
): string {
  return `${id} ${life ?? ""}`;
}
