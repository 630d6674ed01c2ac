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
  type Milliseconds,
  type RequestId,
} from "../ids/index.ts";
import type { ListenedTimeView } from "../listening/index.ts";
import type { EndpointRecord } from "../routes/index.ts";
import { CrashLedger } from "./crash_ledger.ts";
import { partsOf, reportOf } from "./report_end.ts";
import {
  CrashWatch,
  type EndedEndpoint,
  type WatchedEndpoint,
  type WatchedRun,
} from "./crash_watch.ts";
import type { RequestFingerprint } from "./fingerprint.ts";
import { HoldKeeper, type NewsRecipients } from "./hold_keeper.ts";
import type { HoldList, HoldVerdict } from "./hold_list.ts";
import { OpenTrials } from "./open_trials.ts";
import { endFields } from "./quarantine_lines.ts";
import {
  type AnsweredRequest,
  type CrashReport,
  type HoldNotice,
  NOTHING_NEW,
  type QuarantineNews,
  type TriedRequest,
} from "./quarantine_messages.ts";
import { ServedMemory } from "./served_memory.ts";
import { trialOwner, type TrialSources } from "./trial_owner.ts";

/** Answered requests in one datagram: it stays under 1,400 bytes. */
const ANSWERED_PER_MESSAGE = 48;
/**
 * Ends that are told in a second. Where more end together it is a zone or a rack, which says nothing of a
 * request, and hundreds of reports to each entry that carries would cost more than what they are for.
 */
const MOST_TOLD = 8;
const SECOND_MS = 1_000;

/** What the controller works with. */
export interface QuarantineSources extends TrialSources {
  readonly listened: ListenedTimeView;
  /** Longer than a message takes between any two entries; 0 where a request that waits cannot be kept. */
  readonly claimTime: Milliseconds;
  /** Has the shell see whether something listens at an endpoint's address. */
  readonly knock: (record: EndpointRecord) => void;
  readonly tell: (news: QuarantineNews, to: NewsRecipients) => void;
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
  readonly #keeper: HoldKeeper;
  readonly #trials: OpenTrials;
  readonly #served = new ServedMemory();
  #answered: AnsweredRequest[] = [];
  /** When ends were told, in the last second. */
  #toldAt: Instant[] = [];
  /** Ends of endpoints that this entry lost requests with. */
  ends = 0;

  constructor(sources: QuarantineSources) {
    this.#sources = sources;
    this.#keeper = new HoldKeeper(sources);
    const { self: { incarnation }, claimTime } = sources;
    this.#trials = new OpenTrials(incarnation, claimTime);
    this.#watch = new CrashWatch(({ id, life }) => {
      const present = sources.endpoints().get(id);
      return present === undefined || present.life !== life;
    }, sources.listened);
  }

  get holds(): HoldList {
    return this.#keeper.holds;
  }

  /** Whether a request may go to an endpoint of some services; asks for its trial where it needs one. */
  judge(
    { id, fingerprint, services }: {
      id: RequestId;
      fingerprint: RequestFingerprint;
      services: readonly EndpointRecord["service"][];
    },
    now: Instant,
  ): QuarantineVerdict {
    const { content } = fingerprint;
    const mayTry = trialOwner(this.#sources, { content, services });
    const verdict = this.holds.judge(fingerprint, mayTry, now);
    if (verdict.kind !== "free" || !this.#ledger.suspects(content)) {
      return verdict;
    }
    const ends = this.#ledger.endsOf(content);
    const answer = this.#trials.ask(content, { request: id, ends }, now);
    if (answer === "claim") {
      this.#tellTried({ content, sent: false });
    }
    return answer === "go" ? verdict : { kind: "wait" };
  }

  /** Whether a request that was lost with its endpoint is not to be sent to another one by this entry. */
  isSuspect({ content }: Pick<RequestFingerprint, "content">): boolean {
    return this.holds.has(content) || this.#ledger.suspects(content);
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
    this.holds.noteTrial(content, sentAt);
    if (trial) {
      const ends = this.#ledger.endsOf(content);
      this.#trials.begin(content, { request, ends }, sentAt);
      this.#tellTried({ content, sent: true });
    }
  }

  #tellTried(tried: TriedRequest): void {
    this.#sources.tell({ ...NOTHING_NEW, tried: [tried] }, "carriers");
  }

  /** An answer is not read because its caller has no room, or is read again. */
  held(
    endpoint: WatchedEndpoint,
    attempt: AttemptId,
    change: { held: boolean; now: Instant },
  ): void {
    this.#watch.held(endpoint, attempt, change);
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
      const { softwareVersion } = endpoint.record;
      const { content } = fingerprint;
      this.#noteAnswered({ content, softwareVersion }, now);
    }
  }

  /** A connection broke, or an answer failed: whether the process ended shows where its port is closed. */
  broken(endpoint: WatchedEndpoint, now: Instant): void {
    if (this.#watch.isToKnock(endpoint, now)) {
      this.#sources.knock(endpoint.record);
    }
  }

  /** Nothing listens at an endpoint's address, or another process does. */
  refused(endpoint: Pick<EndpointRecord, "id" | "life">): void {
    this.#watch.refused(endpoint);
  }

  /** Takes a peer's news. */
  learn(news: QuarantineNews, from: Incarnation, now: Instant): void {
    news.answered.forEach((answered) => this.#clear(answered, now));
    this.learnHolds(news.holds, now);
    for (const { content, sent } of news.tried) {
      const ends = this.#ledger.endsOf(content);
      this.#trials.learn(content, { from, sent, ends }, now);
    }
    for (const report of news.crashes) {
      this.#watch.told({ id: report.endpoint, life: report.life }, now);
      this.#add(report, now);
    }
    this.#defend(news, now);
  }

  /** Takes what a peer holds back. */
  learnHolds(holds: readonly HoldNotice[], now: Instant): void {
    holds.forEach((notice) => this.#keeper.learn(notice, now));
  }

  /** An operator ends a hold, everywhere. */
  release(content: ContentDigest, now: Instant): boolean {
    this.#ledger.answered(content, now);
    return this.#keeper.release(content, now);
  }

  tick(now: Instant): void {
    this.#reportEnds(now);
    this.#trials.forget(now);
    if (this.#answered.length > 0) {
      const answered = this.#answered.splice(0, ANSWERED_PER_MESSAGE);
      this.#sources.tell({ ...NOTHING_NEW, answered }, "carriers");
    }
    this.#keeper.tick(now);
  }

  #reportEnds(now: Instant): void {
    this.#watch.takeEnded(now).forEach((ended) => this.#report(ended, now));
  }

  #noteAnswered(answered: AnsweredRequest, now: Instant): void {
    const { content } = answered;
    this.#served.add(content, now);
    if (this.isSuspect({ content })) {
      this.#tellAnswered(answered, now);
    } else {
      this.#ledger.answered(content, now);
    }
  }

  #tellAnswered(answered: AnsweredRequest, now: Instant): void {
    this.#answered.push(answered);
    this.#clear(answered, now);
  }

  #clear(answered: AnsweredRequest, now: Instant): void {
    this.#ledger.answered(answered.content, now);
    this.#keeper.noteAnswered(answered, now);
  }

  /** What a peer lost and this entry answered lately did not end the endpoint. */
  #defend({ crashes }: QuarantineNews, now: Instant): void {
    for (const { victims, softwareVersion } of crashes) {
      victims.filter(({ content }) => this.#served.has(content, now))
        .forEach(({ content }) =>
          this.#tellAnswered({ content, softwareVersion }, now)
        );
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
    const report = reportOf({ record, at, runs }, {
      endpoints: this.#sources.endpoints(),
      isServed: (content) => this.#served.has(content, now),
    }, now);
    this.#tell(report, now);
    this.#add(report, now);
  }

  #tell(report: CrashReport, now: Instant): void {
    this.#toldAt = this.#toldAt.filter((at) => now - at < SECOND_MS);
    if (this.#toldAt.length >= MOST_TOLD) {
      return;
    }
    this.#toldAt.push(now);
    for (const part of partsOf(report)) {
      this.#sources.tell({ ...NOTHING_NEW, crashes: [part] }, "carriers");
    }
  }

  #add(report: CrashReport, now: Instant): void {
    this.#ledger.add(report, now);
    this.#keeper.noteEnd(report, now);
    this.#ledger.culprits((content) => this.holds.has(content)).forEach((
      culprit,
    ) => this.#keeper.hold(culprit, now));
  }
}
