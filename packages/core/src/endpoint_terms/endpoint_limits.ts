/**
 * Limits that endpoints state in their answers: requests a second from all entries together.
 *
 * One entry of the region issues permits at that rate, the same entry in all views; the others ask it for
 * one when they have use for it. So the limit is used wherever there are requests, and nobody divides a
 * limit that is smaller than one request a second. Without a permit an endpoint gets nothing.
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
  knownOf,
  noticeOf,
} from "./known_limits.ts";
import type { LimitMessage } from "./limit_messages.ts";
import { PermitIssuer } from "./permit_issuer.ts";
import type { Stated, StatingAnswer, TermsLog } from "./stated.ts";
import { ToldPeers } from "./told_peers.ts";

const MS_PER_SECOND = 1_000;
/** A permit that is not used for so long, and for the time of one request at the limit, is void. */
const PERMIT_MS = 1_000;
/** A question for a permit, or its answer, may be lost: it is asked again. */
const ASK_PERIOD_MS = 100;
/** An endpoint is asked at least so often, or it could not say that its limit ends. */
const LEAST_PER_SECOND = 1 / 30;
const MS_PER_MINUTE = 60_000;
/** Notices in one datagram. */
const MOST_NOTICES = 20;

/** Leave to send one request to a limited endpoint. */
export interface Permit {
  readonly until: Instant;
  /** The limit that it was issued under: a lower one voids it. */
  readonly perSecond: number;
}

/** What limits are kept by. */
export interface EndpointLimitSources {
  readonly incarnation: Incarnation;
  /** The entry of the region that issues the permits of an endpoint. */
  readonly issuerOf: (endpoint: EndpointId) => Incarnation;
  /** Other live entries of the region. */
  readonly peers: () => readonly Incarnation[];
  /** Part of the region's entries that this one hears, itself included. */
  readonly heardPart: () => number;
  /** Whether an endpoint is published. */
  readonly isPublished: (endpoint: EndpointId) => boolean;
  readonly send: (to: Incarnation, message: LimitMessage) => void;
  readonly log: TermsLog;
}

/** One entry's permits, and those that it issues. */
export class EndpointLimits {
  readonly #sources: EndpointLimitSources;
  readonly #known = new KnownLimits();
  readonly #permits = new Map<EndpointId, Permit[]>();
  readonly #askedAt = new Map<EndpointId, Instant>();
  readonly #issuers: IssuerView;
  readonly #issued = new Map<EndpointId, PermitIssuer>();
  readonly #ignored: IgnoredValues;
  readonly #told = new ToldPeers();
  /** Requests that found no permit when they were about to be sent. */
  withheld = 0;

  constructor(sources: EndpointLimitSources, now: Instant) {
    this.#sources = sources;
    this.#issuers = new IssuerView(sources.issuerOf, now);
    this.#ignored = new IgnoredValues(
      "Limit of an endpoint is ignored.",
      sources.log,
    );
  }

  /** Values that were ignored since the start. */
  get ignored(): number {
    return this.#ignored.count;
  }

  /** Endpoints that have a limit at present. */
  get size(): number {
    return [...this.#known.all()].filter(({ perSecond }) =>
      perSecond !== undefined
    ).length;
  }

  /** Whether others wait for permits of this entry. */
  get isAsked(): boolean {
    return [...this.#issued.values()].some(({ isAsked }) => isAsked);
  }

  /** Requests a second, `undefined` for an endpoint without a limit. */
  limitOf(record: EndpointRecord): number | undefined {
    return this.#known.of(record);
  }

  /** Takes what the head of an answer states; an answer without a limit lifts it. */
  hear(
    record: EndpointRecord,
    { stated, answer }: { stated: Stated | undefined; answer: StatingAnswer },
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
      : Math.max(LEAST_PER_SECOND, stated.value);
    const news = { endpoint, life, perSecond, statedAt: now };
    if (this.#known.learn(news)) {
      this.#logChange(news, before, {
        ...answer,
        service: record.service,
        now,
      });
      this.#spread(news, undefined, now);
    }
  }

  /** Whether a request may be placed at an endpoint; where it may not, a permit is asked for. */
  allows(record: EndpointRecord, now: Instant): boolean {
    if (this.isFree(record, now)) {
      return true;
    }
    this.#ask(record.id, now);
    return this.#hasPermit(record, now);
  }

  /** Whether an endpoint has no limit, or a permit of it is at hand. */
  isFree(record: EndpointRecord, now: Instant): boolean {
    return this.limitOf(record) === undefined || this.#hasPermit(record, now);
  }

  /** Takes a permit, `undefined` where there is none or none is needed. */
  take(record: EndpointRecord, now: Instant): Permit | undefined {
    return this.limitOf(record) !== undefined && this.allows(record, now)
      ? this.#permits.get(record.id)!.shift()
      : undefined;
  }

  /** Whether a request may be written to an endpoint now, with the permit that it was placed with. */
  covers(
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

  /** A request was not written: another one may use its permit. */
  giveBack({ id }: EndpointRecord, permit: Permit): void {
    this.#permits.set(id, [permit, ...this.#permits.get(id) ?? []]);
  }

  /** Takes what another entry tells. Returns whether it brought permits. */
  receive({ kind, incarnation, notices }: LimitMessage, now: Instant): boolean {
    for (const notice of notices) {
      const news = knownOf(notice, now);
      const before = this.#known.of({ id: news.endpoint, life: news.life });
      if (this.#known.learn(news)) {
        this.#logChange(news, before, { toldBy: incarnation, now });
        this.#spread(news, incarnation, now);
      }
      if (kind === "ask") {
        this.#correct(news, incarnation, now);
        this.#issue(news.endpoint, now, incarnation);
      } else if (kind === "grant") {
        this.#addPermit(news.endpoint, now);
      }
    }
    return kind === "grant";
  }

  /** Issues what is due. */
  tick(now: Instant): void {
    if (this.#known.size === 0) {
      return;
    }
    for (const { endpoint, perSecond } of this.#known.all()) {
      if (perSecond !== undefined) {
        this.#issue(endpoint, now);
      }
    }
    this.#tellOthers(now);
    this.#forgetGone(now);
  }

  /** The process stood still: another entry may issue in its place. */
  woke(): void {
    this.#permits.clear();
    this.#issued.clear();
    this.#issuers.woke();
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
    this.#askedAt.delete(endpoint);
    const perSecond = this.#known.get(endpoint)?.perSecond;
    if (perSecond !== undefined) {
      const until = after(now, PERMIT_MS + MS_PER_SECOND / perSecond);
      const permits = this.#permits.get(endpoint) ?? [];
      this.#permits.set(endpoint, [...permits, { until, perSecond }]);
    }
  }

  #ask(endpoint: EndpointId, now: Instant): void {
    const { incarnation, send } = this.#sources;
    const issuer = this.#findIssuer(endpoint, now).entry;
    if (issuer === incarnation) {
      return this.#issue(endpoint, now, incarnation);
    }
    const askedAt = this.#askedAt.get(endpoint) ?? -Infinity;
    if (now - askedAt >= ASK_PERIOD_MS) {
      this.#askedAt.set(endpoint, now);
      const notices = [noticeOf(this.#known.get(endpoint)!, now)];
      send(issuer, { kind: "ask", incarnation, notices });
    }
  }

  /** Hands out the permits of an endpoint, if this entry is the one to do so. */
  #issue(endpoint: EndpointId, now: Instant, asker?: Incarnation): void {
    const { incarnation, heardPart, send } = this.#sources;
    const known = this.#known.get(endpoint);
    const { entry, takesOver } = this.#findIssuer(endpoint, now);
    if (entry !== incarnation || known?.perSecond === undefined) {
      this.#issued.delete(endpoint);
      return;
    }
    const issued = this.#issued.get(endpoint) ??
      new PermitIssuer({ takesOver }, now);
    this.#issued.set(endpoint, issued);
    if (asker !== undefined) {
      issued.ask(asker, now);
    }
    if (!issued.isAsked) {
      return;
    }
    for (const to of issued.issue(known.perSecond * heardPart(), now)) {
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

  /** Tells of a change: the issuer of the endpoint, who tells all others. */
  #spread(
    news: KnownLimit,
    toldBy: Incarnation | undefined,
    now: Instant,
  ): void {
    const { incarnation, send } = this.#sources;
    const issuer = this.#findIssuer(news.endpoint, now).entry;
    if (issuer === incarnation) {
      this.#told.reset();
      this.#tellOthers(now);
    } else if (toldBy === undefined) {
      const notices = [noticeOf(news, now)];
      send(issuer, { kind: "notice", incarnation, notices });
    }
  }

  /** Tells an entry that asks by a limit that is not in force any more. */
  #correct(asked: KnownLimit, asker: Incarnation, now: Instant): void {
    const known = this.#known.get(asked.endpoint);
    if (known !== undefined && known.perSecond !== asked.perSecond) {
      const { incarnation, send } = this.#sources;
      const notices = [noticeOf(known, now)];
      send(asker, { kind: "notice", incarnation, notices });
    }
  }

  /** An issuer tells the entries of the region, and each that is new, of its endpoints' limits. */
  #tellOthers(now: Instant): void {
    const { incarnation, peers, send } = this.#sources;
    const due = this.#told.takeDue(peers(), now);
    const known = due.length === 0
      ? []
      : [...this.#known.all()].map((limit) => ({
        limit,
        issuer: this.#findIssuer(limit.endpoint, now).entry,
      }));
    for (const peer of due) {
      // An issuer that has just started knows nothing of what it is to issue.
      const notices = known.filter(({ issuer }) =>
        issuer === incarnation || issuer === peer
      ).map(({ limit }) => noticeOf(limit, now));
      for (let first = 0; first < notices.length; first += MOST_NOTICES) {
        const part = notices.slice(first, first + MOST_NOTICES);
        send(peer, { kind: "notice", incarnation, notices: part });
      }
    }
  }

  /** Endpoints that are gone, and limits that ended a while ago. */
  #forgetGone(now: Instant): void {
    const { isPublished } = this.#sources;
    for (const { endpoint, perSecond, statedAt } of this.#known.all()) {
      const over = perSecond === undefined || !isPublished(endpoint);
      if (over && now - statedAt > MS_PER_MINUTE) {
        this.#known.forget(endpoint);
        this.#permits.delete(endpoint);
        this.#askedAt.delete(endpoint);
        this.#issuers.forget(endpoint);
        this.#issued.delete(endpoint);
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
