/**
 * Holds back requests that crash what runs them.
 *
 * Attempts, the budget of repeats and the trials of suspects each bound one request, one entry or one
 * endpoint. A request that ends its endpoint and comes again, with another id and at another entry, is new
 * to all of them: it ended 29 engines in 17 s, and of the callers beside it none to five in 25 were served
 * in time. So entries tell each other under what their endpoints ended, add that up in the same way, and
 * tell all when they hold a request back.
 *
 * @module
 */
import {
  type AttemptId,
  type ContentDigest,
  type Incarnation,
  type Instant,
  milliseconds,
  rendezvous,
  type RequestId,
} from "../ids/index.ts";
import type { EndpointRecord } from "../routes/index.ts";
import type { Culprit } from "./crash_evidence.ts";
import { CrashLedger } from "./crash_ledger.ts";
import type {
  CrashReport,
  HoldNotice,
  QuarantineNews,
} from "./crash_report.ts";
import {
  CrashWatch,
  type EndedEndpoint,
  type WatchedEndpoint,
  type WatchedRun,
} from "./crash_watch.ts";
import type { RequestFingerprint } from "./fingerprint.ts";
import { HoldList, type HoldVerdict } from "./hold_list.ts";
import { OpenTrials } from "./open_trials.ts";
import { endFields, holdLine } from "./quarantine_lines.ts";
import { ServedMemory } from "./served_memory.ts";

/** Requests of one end that are told: more than an entry has at one endpoint on an ordinary day. */
const MOST_VICTIMS = 128;
/** Requests in one datagram: it stays under 1,400 bytes. */
const VICTIMS_PER_MESSAGE = 30;
const NOTHING_NEW: QuarantineNews = {
  crashes: [],
  answered: [],
  tried: [],
  holds: [],
};

/** What the controller works with. */
export interface QuarantineSources {
  readonly self: { readonly incarnation: Incarnation };
  /** Published endpoints of all regions. */
  readonly endpoints: () => ReadonlyMap<EndpointRecord["id"], EndpointRecord>;
  /** Entries that are alive, this one included. */
  readonly entries: () => readonly Incarnation[];
  /** Has the shell see whether something listens at an endpoint's address. */
  readonly knock: (record: EndpointRecord) => void;
  /** Tells the entries that carry requests, or all. */
  readonly tell: (news: QuarantineNews, to: "carriers" | "all") => void;
  readonly log: (
    part: "endpoint" | "quarantine",
    text: string,
    fields: Readonly<Record<string, unknown>>,
  ) => void;
}

/** What becomes of a request. */
export type QuarantineVerdict =
  | HoldVerdict
  /** Another copy of it is tried; its outcome is known soon. */
  | { readonly kind: "wait" };

/** How a request at an endpoint ended. */
export type RunEnd =
  /** The endpoint answered it. */
  | "answered"
  /** It broke off, failed or was not waited for. */
  | "lost"
  /** The endpoint did not run it. */
  | "refused";

/** Writes who is held back. */
export class QuarantineController {
  readonly #sources: QuarantineSources;
  readonly #watch: CrashWatch;
  readonly #ledger = new CrashLedger();
  readonly #holds = new HoldList();
  readonly #trials = new OpenTrials();
  readonly #served = new ServedMemory();
  #answered: ContentDigest[] = [];
  /** Ends of endpoints that this entry lost requests with. */
  ends = 0;

  constructor(sources: QuarantineSources) {
    this.#sources = sources;
    this.#watch = new CrashWatch(({ id, life }) => {
      const present = sources.endpoints().get(id);
      return present === undefined || present.life !== life;
    });
  }

  get holds(): HoldList {
    return this.#holds;
  }

  /** Whether a request may go to an endpoint of some services. */
  judge(
    { id, fingerprint, services }: {
      id: RequestId;
      fingerprint: RequestFingerprint;
      services: readonly EndpointRecord["service"][];
    },
    now: Instant,
  ): QuarantineVerdict {
    const { content } = fingerprint;
    const verdict = this.#holds.judge(fingerprint, {
      mayTry: () => this.#triesOf(content),
      versions: () => this.#versionsOf(services),
    }, now);
    if (verdict.kind !== "free" || !this.#ledger.suspects(content)) {
      return verdict;
    }
    const ends = this.#ledger.endsOf(content);
    return this.#trials.blocks(content, { request: id, ends }, now)
      ? { kind: "wait" }
      : verdict;
  }

  /** Whether a request that was lost with its endpoint is not to be sent to another one by this entry. */
  deniesRepeat({ content }: RequestFingerprint): boolean {
    return this.#holds.has(content) || this.#ledger.deniesRepeat(content);
  }

  /** A request is written to an endpoint. */
  began(
    endpoint: WatchedEndpoint,
    run: Omit<WatchedRun, "trial">,
    request: RequestId,
  ): void {
    const { fingerprint: { content }, sentAt } = run;
    const trial = this.#ledger.suspects(content);
    this.#watch.began(endpoint, { ...run, trial });
    this.#holds.noteTrial(content, sentAt);
    if (trial) {
      const ends = this.#ledger.endsOf(content);
      this.#trials.begin(content, { request, ends }, sentAt);
      this.#sources.tell({ ...NOTHING_NEW, tried: [content] }, "carriers");
    }
  }

  /** A request's time at an endpoint is over. */
  ended(
    endpoint: WatchedEndpoint,
    { attempt, fingerprint, end }: {
      attempt: AttemptId;
      fingerprint: RequestFingerprint;
      end: RunEnd;
    },
    now: Instant,
  ): void {
    if (end === "lost") {
      return this.#watch.lost(endpoint, attempt, now);
    }
    this.#watch.ended(endpoint, attempt);
    if (end === "answered") {
      this.#noteAnswered(fingerprint.content, now);
    }
  }

  /** A connection to an endpoint broke: whether its process ended shows at once where its port is closed. */
  broken(endpoint: WatchedEndpoint, now: Instant): void {
    if (this.#watch.isToKnock(endpoint, now)) {
      this.#sources.knock(endpoint.record);
    }
  }

  /** Nothing listens at an endpoint's address. */
  refused(
    endpoint: Pick<EndpointRecord, "id" | "life">,
    now: Instant,
  ): void {
    this.#watch.refused(endpoint);
    this.#reportEnds(now);
  }

  /** Takes a peer's news. */
  learn(news: QuarantineNews, now: Instant): void {
    news.answered.forEach((content) => this.#clear(content, now));
    this.learnHolds(news.holds, now);
    for (const content of news.tried) {
      const ends = this.#ledger.endsOf(content);
      this.#trials.begin(content, { request: undefined, ends }, now);
    }
    for (const report of news.crashes) {
      this.#watch.told({ id: report.endpoint, life: report.life }, now);
      this.#add(report, now);
    }
    this.#defend(news, now);
  }

  /** Takes what a peer holds back. */
  learnHolds(holds: readonly HoldNotice[], now: Instant): void {
    for (const notice of holds) {
      if (this.#holds.learn(notice, now)) {
        this.#logHold(notice.content, { told: true }, now);
      }
    }
  }

  /** An operator ends a hold, everywhere. */
  release(content: ContentDigest, now: Instant): boolean {
    return this.#release(content, "operator", now);
  }

  tick(now: Instant): void {
    this.#reportEnds(now);
    this.#trials.forget(now);
    if (this.#answered.length > 0) {
      const answered = this.#answered.splice(0, VICTIMS_PER_MESSAGE);
      this.#sources.tell({ ...NOTHING_NEW, answered }, "carriers");
    }
    this.#holds.forget(now).forEach((content) =>
      this.#sources.log("quarantine", "Request is no longer held back.", {
        digest: content,
        reason: "time",
      })
    );
  }

  #reportEnds(now: Instant): void {
    this.#watch.takeEnded(now).forEach((ended) => this.#report(ended, now));
  }

  /** One entry tries a held request again, so that trials do not add up either. */
  #triesOf(content: ContentDigest): boolean {
    const [first] = rendezvous(
      content,
      this.#sources.entries(),
      (incarnation) => incarnation,
    );
    return first === this.#sources.self.incarnation;
  }

  #versionsOf(services: readonly EndpointRecord["service"][]): string[] {
    return [...this.#sources.endpoints().values()]
      .filter(({ service, state }) =>
        state === "ready" && services.includes(service)
      )
      .map(({ softwareVersion }) => softwareVersion);
  }

  #noteAnswered(content: ContentDigest, now: Instant): void {
    this.#served.add(content, now);
    if (this.#ledger.knows(content) || this.#holds.has(content)) {
      this.#tellAnswered(content, now);
    }
  }

  #tellAnswered(content: ContentDigest, now: Instant): void {
    this.#answered.push(content);
    this.#clear(content, now);
  }

  #clear(content: ContentDigest, now: Instant): void {
    this.#ledger.answered(content, now);
    this.#release(content, "answered", now);
  }

  #release(
    content: ContentDigest,
    reason: "answered" | "operator",
    now: Instant,
  ): boolean {
    if (!this.#holds.release(content)) {
      return false;
    }
    this.#ledger.answered(content, now);
    this.#sources.log("quarantine", "Request is no longer held back.", {
      digest: content,
      reason,
    });
    const notice = this.#holds.notice(content, now);
    if (notice !== undefined) {
      this.#sources.tell({ ...NOTHING_NEW, holds: [notice] }, "all");
    }
    return true;
  }

  /** What a peer lost and this entry answered lately did not end the endpoint. */
  #defend({ crashes }: QuarantineNews, now: Instant): void {
    for (const { victims } of crashes) {
      victims.filter(({ content }) => this.#served.has(content, now))
        .forEach(({ content }) => this.#tellAnswered(content, now));
    }
  }

  /** This entry saw an endpoint's end. */
  #report({ record, at, runs }: EndedEndpoint, now: Instant): void {
    this.ends++;
    const fields = endFields(
      { record, runs },
      (content) => this.#ledger.endsOf(content),
    );
    this.#sources.log("endpoint", "Endpoint has ended.", fields);
    const victims = runs
      .filter(({ fingerprint }) => !this.#served.has(fingerprint.content, now))
      .map(({ fingerprint, sentAt, lostAt, trial }) => ({
        ...fingerprint,
        trial,
        exposure: milliseconds(Math.round(lostAt - sentAt)),
      }))
      .sort((left, right) => left.exposure - right.exposure)
      .slice(0, MOST_VICTIMS);
    const report: CrashReport = {
      endpoint: record.id,
      life: record.life,
      service: record.service,
      zone: record.zone,
      softwareVersion: record.softwareVersion,
      age: milliseconds(Math.round(now - at)),
      others: this.#othersOf(record),
      victims,
    };
    this.#tellEnd(report);
    this.#add(report, now);
  }

  #tellEnd(report: CrashReport): void {
    const { victims } = report;
    for (let from = 0; from < victims.length; from += VICTIMS_PER_MESSAGE) {
      const part = victims.slice(from, from + VICTIMS_PER_MESSAGE);
      const crashes = [{ ...report, victims: part }];
      this.#sources.tell({ ...NOTHING_NEW, crashes }, "carriers");
    }
  }

  #othersOf(record: EndpointRecord): number {
    return [...this.#sources.endpoints().values()].filter((other) =>
      other.id !== record.id && other.service === record.service &&
      other.zone === record.zone && other.state === "ready"
    ).length;
  }

  #add(report: CrashReport, now: Instant): void {
    this.#ledger.add(report, now);
    this.#holdLonger(report, now);
    this.#ledger.culprits((content) => this.#holds.has(content)).forEach((
      culprit,
    ) => this.#hold(culprit, now));
  }

  /** An end under a held request: a trial has failed, or other software or callers are no better. */
  #holdLonger(report: CrashReport, now: Instant): void {
    const { service, softwareVersion: version, age, victims } = report;
    const at = (now - age) as Instant;
    for (const { content, caller } of victims) {
      if (this.#holds.isNewEnd(content, { at, version, callers: [caller] })) {
        const held = this.#holds.notice(content, now)!;
        const same = held.caller === caller;
        this.#put({
          content,
          caller: same ? caller : undefined,
          service,
          versions: [version],
        }, now);
        this.#logHold(content, {}, now);
      }
    }
  }

  #hold({ content, caller, ends, score }: Culprit, now: Instant): void {
    const { service } = ends[0]!;
    const versions = ends.map(({ softwareVersion }) => softwareVersion);
    this.#put({ content, caller, service, versions }, now);
    this.#logHold(content, {
      ends: ends.length,
      score: Number(score.toFixed(1)),
    }, now);
  }

  #put(hold: Parameters<HoldList["hold"]>[0], now: Instant): void {
    this.#holds.hold(hold, now);
    const notice = this.#holds.notice(hold.content, now)!;
    this.#sources.tell({ ...NOTHING_NEW, holds: [notice] }, "all");
  }

  #logHold(
    content: ContentDigest,
    fields: Readonly<Record<string, unknown>>,
    now: Instant,
  ): void {
    const { text, fields: known } = holdLine(
      this.#holds.notice(content, now)!,
    );
    this.#sources.log("quarantine", text, { ...known, ...fields });
  }
}
