/**
 * Limits that endpoints state in their answers: requests per second from all entries together.
 *
 * For each endpoint, one entry of the region issues permits at that rate. All entries agree on which one, and
 * request a permit from it when they need one. The limit is thus available wherever requests arrive, and is not
 * divided among entries, which would not work for limits below one request per second. No request is sent to a
 * limited endpoint without a permit.
 *
 * @module
 */
import {
  after,
  type EndpointId,
  type Incarnation,
  type Instant,
} from "../ids/index.ts";
import type { EndpointRecord } from "../routes/index.ts";
import { IgnoredValues } from "./ignored_values.ts";
import { type Issuer, IssuerView } from "./issuer_view.ts";
import {
  type KnownLimit,
  KnownLimits,
  limitFromNotice,
  noticeOf,
} from "./known_limits.ts";
import type { LimitMessage } from "./limit_messages.ts";
import { PermitIssuer } from "./permit_issuer.ts";
import type {
  AnswerSummary,
  EndpointLog,
  StatedValue,
} from "./stated_value.ts";
import { PeerAnnouncements } from "./peer_announcements.ts";

const MS_PER_SECOND = 1_000;
/** An unused permit expires after this time plus the interval between two requests at the limit. */
const PERMIT_LIFETIME_MS = 1_000;
/** A permit is requested again after this time, since the request or the reply may be lost. */
const PERMIT_REQUEST_PERIOD_MS = 100;
/** Lower limits are raised to this rate: an endpoint without requests could not announce that its limit ended. */
const MIN_LIMIT_PER_SECOND = 1 / 30;
/** Limits that ended, and those of removed endpoints, are forgotten at this age. */
const STALE_LIMIT_AGE_MS = 60_000;
const MAX_NOTICES_PER_DATAGRAM = 20;

/** Permission to send one request to a limited endpoint. */
export interface Permit {
  readonly until: Instant;
  /** The limit that the permit was issued under. A lower limit invalidates it. */
  readonly perSecond: number;
}

/** Dependencies of the limits. */
export interface EndpointLimitSources {
  readonly incarnation: Incarnation;
  /** Returns the entry of the region that issues an endpoint's permits. */
  readonly issuerOf: (endpoint: EndpointId) => Incarnation;
  /** Other live entries of the region. */
  readonly peers: () => readonly Incarnation[];
  /** Fraction of the region's entries that this one is connected to, including itself. */
  readonly reachableFraction: () => number;
  /** Whether an endpoint is published. */
  readonly isPublished: (endpoint: EndpointId) => boolean;
  readonly send: (to: Incarnation, message: LimitMessage) => void;
  readonly log: EndpointLog;
}

/** Limits and permits of one entry, including the permits that it issues to others. */
export class EndpointLimits {
  readonly #sources: EndpointLimitSources;
  readonly #known = new KnownLimits();
  readonly #permits = new Map<EndpointId, Permit[]>();
  readonly #permitRequestedAt = new Map<EndpointId, Instant>();
  readonly #issuers: IssuerView;
  readonly #permitIssuers = new Map<EndpointId, PermitIssuer>();
  readonly #ignored: IgnoredValues;
  readonly #announcements = new PeerAnnouncements();
  /** Number of requests that had no valid permit when they were about to be sent. */
  withheld = 0;

  constructor(sources: EndpointLimitSources, now: Instant) {
    this.#sources = sources;
    this.#issuers = new IssuerView(sources.issuerOf, now);
    this.#ignored = new IgnoredValues(
      "Limit of an endpoint is ignored.",
      sources.log,
    );
  }

  /** Number of invalid values since the process started. */
  get ignored(): number {
    return this.#ignored.count;
  }

  /** Number of endpoints that currently have a limit. */
  get size(): number {
    return [...this.#known.all()].filter(({ perSecond }) =>
      perSecond !== undefined
    ).length;
  }

  /** Whether entries are waiting for permits from this one. */
  get hasPermitRequests(): boolean {
    return [...this.#permitIssuers.values()].some(({ hasRequests }) =>
      hasRequests
    );
  }

  /** Limit in requests per second, `undefined` for an endpoint without a limit. */
  limitOf(record: EndpointRecord): number | undefined {
    return this.#known.limitOf(record);
  }

  /** Handles the limit that an answer's headers state. An answer without a limit lifts it. */
  handleAnswer(
    record: EndpointRecord,
    { stated, answer }: {
      stated: StatedValue | undefined;
      answer: AnswerSummary;
    },
    now: Instant,
  ): void {
    if (stated?.kind === "invalid") {
      const inForce = this.limitOf(record);
      return this.#ignored.note(record, { stated, answer, inForce });
    }
    const { id: endpoint, life } = record;
    const before = this.limitOf(record);
    const perSecond = stated === undefined
      ? undefined
      : Math.max(MIN_LIMIT_PER_SECOND, stated.value);
    const update = { endpoint, life, perSecond, statedAt: now };
    if (this.#known.update(update)) {
      this.#logChange(update, before, {
        ...answer,
        service: record.service,
        now,
      });
      this.#announceChange(update, undefined, now);
    }
  }

  /** Whether a request may be placed at an endpoint. Requests a permit if one is missing. */
  allows(record: EndpointRecord, now: Instant): boolean {
    if (this.hasPermitOrNoLimit(record, now)) {
      return true;
    }
    this.#requestPermit(record.id, now);
    return this.#hasPermit(record, now);
  }

  /** Whether an endpoint has no limit, or this entry holds a permit for it. */
  hasPermitOrNoLimit(record: EndpointRecord, now: Instant): boolean {
    return this.limitOf(record) === undefined || this.#hasPermit(record, now);
  }

  /** Takes a permit, `undefined` if there is none or none is needed. */
  take(record: EndpointRecord, now: Instant): Permit | undefined {
    return this.limitOf(record) !== undefined && this.allows(record, now)
      ? this.#permits.get(record.id)!.shift()
      : undefined;
  }

  /** Whether a request may be sent to an endpoint now. If its permit is no longer valid, another one is taken. */
  authorizeSend(
    record: EndpointRecord,
    permit: Permit | undefined,
    now: Instant,
  ): boolean {
    const covered = this.limitOf(record) === undefined ||
      permit !== undefined && this.#isValid(record, permit, now) ||
      this.take(record, now) !== undefined;
    this.withheld += covered ? 0 : 1;
    return covered;
  }

  /** Returns the permit of a request that was not sent, so that another request may use it. */
  returnPermit({ id }: EndpointRecord, permit: Permit): void {
    this.#permits.set(id, [permit, ...this.#permits.get(id) ?? []]);
  }

  /** Handles a message from another entry. Returns whether it granted permits. */
  receive({ kind, incarnation, notices }: LimitMessage, now: Instant): boolean {
    for (const notice of notices) {
      const update = limitFromNotice(notice, now);
      const before = this.#known.limitOf({
        id: update.endpoint,
        life: update.life,
      });
      if (this.#known.update(update)) {
        this.#logChange(update, before, { toldBy: incarnation, now });
        this.#announceChange(update, incarnation, now);
      }
      if (kind === "ask") {
        this.#sendCorrection(update, incarnation, now);
        this.#issuePermits(update.endpoint, now, incarnation);
      } else if (kind === "grant") {
        this.#addPermit(update.endpoint, now);
      }
    }
    return kind === "grant";
  }

  /** Issues the permits and sends the announcements that are due. */
  tick(now: Instant): void {
    if (this.#known.size === 0) {
      return;
    }
    for (const { endpoint, perSecond } of this.#known.all()) {
      if (perSecond !== undefined) {
        this.#issuePermits(endpoint, now);
      }
    }
    this.#announceLimits(now);
    this.#removeStaleLimits(now);
  }

  /** Called after the process was suspended: another entry may have taken over issuing permits. */
  onResume(): void {
    this.#permits.clear();
    this.#permitIssuers.clear();
    this.#issuers.onResume();
  }

  #hasPermit(record: EndpointRecord, now: Instant): boolean {
    const valid = (this.#permits.get(record.id) ?? []).filter((permit) =>
      this.#isValid(record, permit, now)
    );
    this.#permits.set(record.id, valid);
    return valid.length > 0;
  }

  #isValid(
    record: EndpointRecord,
    { until, perSecond }: Permit,
    now: Instant,
  ): boolean {
    return now < until && perSecond <= (this.limitOf(record) ?? Infinity);
  }

  #addPermit(endpoint: EndpointId, now: Instant): void {
    this.#permitRequestedAt.delete(endpoint);
    const perSecond = this.#known.get(endpoint)?.perSecond;
    if (perSecond !== undefined) {
      const until = after(now, PERMIT_LIFETIME_MS + MS_PER_SECOND / perSecond);
      const permits = this.#permits.get(endpoint) ?? [];
      this.#permits.set(endpoint, [...permits, { until, perSecond }]);
    }
  }

  #requestPermit(endpoint: EndpointId, now: Instant): void {
    const { incarnation, send } = this.#sources;
    const issuer = this.#findIssuer(endpoint, now).entry;
    if (issuer === incarnation) {
      return this.#issuePermits(endpoint, now, incarnation);
    }
    const requestedAt = this.#permitRequestedAt.get(endpoint) ?? -Infinity;
    if (now - requestedAt >= PERMIT_REQUEST_PERIOD_MS) {
      this.#permitRequestedAt.set(endpoint, now);
      const notices = [noticeOf(this.#known.get(endpoint)!, now)];
      send(issuer, { kind: "ask", incarnation, notices });
    }
  }

  /** Issues the permits of an endpoint, if this entry is its issuer. */
  #issuePermits(
    endpoint: EndpointId,
    now: Instant,
    requester?: Incarnation,
  ): void {
    const { incarnation, reachableFraction, send } = this.#sources;
    const known = this.#known.get(endpoint);
    const { entry, takesOver } = this.#findIssuer(endpoint, now);
    if (entry !== incarnation || known?.perSecond === undefined) {
      this.#permitIssuers.delete(endpoint);
      return;
    }
    const permitIssuer = this.#permitIssuers.get(endpoint) ??
      new PermitIssuer({ takesOver }, now);
    this.#permitIssuers.set(endpoint, permitIssuer);
    if (requester !== undefined) {
      permitIssuer.request(requester, now);
    }
    if (!permitIssuer.hasRequests) {
      return;
    }
    for (
      const to of permitIssuer.issue(known.perSecond * reachableFraction(), now)
    ) {
      if (to === incarnation) {
        this.#addPermit(endpoint, now);
      } else {
        const notices = [noticeOf(known, now)];
        send(to, { kind: "grant", incarnation, notices });
      }
    }
  }

  #findIssuer(endpoint: EndpointId, now: Instant): Issuer {
    const statedAt = this.#known.get(endpoint)?.statedAt ?? now;
    return this.#issuers.find(endpoint, statedAt, now);
  }

  /** Announces a changed limit to the endpoint's issuer, which announces it to all others. */
  #announceChange(
    update: KnownLimit,
    toldBy: Incarnation | undefined,
    now: Instant,
  ): void {
    const { incarnation, send } = this.#sources;
    const issuer = this.#findIssuer(update.endpoint, now).entry;
    if (issuer === incarnation) {
      this.#announcements.reset();
      this.#announceLimits(now);
    } else if (toldBy === undefined) {
      const notices = [noticeOf(update, now)];
      send(issuer, { kind: "notice", incarnation, notices });
    }
  }

  /** Sends the current limit to an entry that requested a permit under an outdated one. */
  #sendCorrection(
    requested: KnownLimit,
    requester: Incarnation,
    now: Instant,
  ): void {
    const known = this.#known.get(requested.endpoint);
    if (known !== undefined && known.perSecond !== requested.perSecond) {
      const { incarnation, send } = this.#sources;
      const notices = [noticeOf(known, now)];
      send(requester, { kind: "notice", incarnation, notices });
    }
  }

  /** Announces the limits of the endpoints that this entry issues for to the region's entries, and to each new one. */
  #announceLimits(now: Instant): void {
    const { incarnation, peers, send } = this.#sources;
    const due = this.#announcements.takeDue(peers(), now);
    const known = due.length === 0
      ? []
      : [...this.#known.all()].map((limit) => ({
        limit,
        issuer: this.#findIssuer(limit.endpoint, now).entry,
      }));
    for (const peer of due) {
      // The issuer itself is sent its limits too: it may have just started and not know of them.
      const notices = known.filter(({ issuer }) =>
        issuer === incarnation || issuer === peer
      ).map(({ limit }) => noticeOf(limit, now));
      for (
        let first = 0;
        first < notices.length;
        first += MAX_NOTICES_PER_DATAGRAM
      ) {
        const part = notices.slice(first, first + MAX_NOTICES_PER_DATAGRAM);
        send(peer, { kind: "notice", incarnation, notices: part });
      }
    }
  }

  /** Removes limits that ended some time ago, and those of endpoints that are no longer published. */
  #removeStaleLimits(now: Instant): void {
    const { isPublished } = this.#sources;
    for (const { endpoint, perSecond, statedAt } of this.#known.all()) {
      const isStale = perSecond === undefined || !isPublished(endpoint);
      if (isStale && now - statedAt > STALE_LIMIT_AGE_MS) {
        this.#known.forget(endpoint);
        this.#permits.delete(endpoint);
        this.#permitRequestedAt.delete(endpoint);
        this.#issuers.forget(endpoint);
        this.#permitIssuers.delete(endpoint);
      }
    }
  }

  #logChange(
    { endpoint, perSecond, statedAt }: KnownLimit,
    before: number | undefined,
    { now, ...source }: { now: Instant } & Readonly<Record<string, unknown>>,
  ): void {
    const text = perSecond === undefined
      ? "Endpoint lifted its limit."
      : before === undefined
      ? "Endpoint stated a limit."
      : "Endpoint changed its limit.";
    this.#sources.log(text, {
      endpoint,
      perSecond,
      before,
      ageMs: Math.round(now - statedAt),
      issuer: this.#findIssuer(endpoint, now).entry,
      ...source,
    });
  }
}
