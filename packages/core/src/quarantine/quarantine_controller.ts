/**
 * Holds back requests that crash the endpoints they run on.
 *
 * Limits on attempts, the retry budget and the health checks of endpoints each protect one request, one entry
 * or one endpoint. A request that crashes its endpoint and is sent again, with another id and through another
 * entry, is new to all of them. One such request crashed 29 engines within 17 seconds, and most other callers
 * were not served in time. Entries therefore report to each other which requests were in progress at each
 * crash, evaluate the reports in the same way, and announce to all when they hold a request.
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
import type { StallAdjustedClockView } from "../listening/index.ts";
import type { EndpointRecord } from "../routes/index.ts";
import { CrashHistory } from "./crash_history.ts";
import { createReport, splitReport } from "./crash_report.ts";
import {
  CrashDetector,
  type CrashedEndpoint,
  type TrackedAttempt,
  type TrackedEndpoint,
} from "./crash_detector.ts";
import type { RequestFingerprint } from "./fingerprint.ts";
import { HoldController, type UpdateRecipients } from "./hold_controller.ts";
import type { HoldDecision, HoldList } from "./hold_list.ts";
import { TrialCoordinator } from "./trial_coordinator.ts";
import { crashLogFields } from "./quarantine_log.ts";
import {
  type AnsweredRequest,
  type CrashReport,
  EMPTY_QUARANTINE_UPDATE,
  type HoldNotice,
  type QuarantineUpdate,
  type TriedRequest,
} from "./quarantine_messages.ts";
import { AnswerHistory } from "./answer_history.ts";
import { PartAnswers } from "./part_answers.ts";
import {
  createTrialPermission,
  type TrialDependencies,
} from "./trial_permission.ts";

/** Number of answered requests in one datagram, which keeps it below 1,400 bytes. */
const ANSWERED_PER_MESSAGE = 48;
/**
 * Limit for the crashes that an entry reports per second. If more endpoints crash together, a zone or a rack
 * failed, which is no evidence against a request, and hundreds of reports to each serving entry would cost
 * more than they are worth.
 */
const MAX_REPORTS_PER_SECOND = 8;
const SECOND_MS = 1_000;

/** Dependencies of `QuarantineController`. */
export interface QuarantineControllerDependencies extends TrialDependencies {
  readonly clock: StallAdjustedClockView;
  /**
   * How long an entry that claims a trial, in which a single copy of a suspect request is sent, waits for competing
   * claims. Exceeds the latency of a message between any two entries. 0 if requests cannot be queued, in which case
   * trials are not claimed.
   */
  readonly claimDelay: Milliseconds;
  /** Has the daemon probe whether something listens at the endpoint's address. */
  readonly probePort: (record: EndpointRecord) => void;
  readonly send: (news: QuarantineUpdate, to: UpdateRecipients) => void;
  readonly log: (
    part: "endpoint" | "quarantine",
    text: string,
    fields: Readonly<Record<string, unknown>>,
  ) => void;
}

/** Whether a request may be sent to an endpoint. */
export type QuarantineDecision =
  | HoldDecision
  /** Another copy of the request is being tried and will have a result soon. */
  | { readonly kind: "wait" };

/** The outcome of an attempt at an endpoint. */
export type AttemptOutcome =
  /** The endpoint answered the request. */
  | "answered"
  /** The answer broke off, failed or was no longer waited for. */
  | "lost"
  /** The endpoint did not run the request. */
  | "refused";

/** Detects crashes of endpoints and decides which requests are held. */
export class QuarantineController {
  readonly #deps: QuarantineControllerDependencies;
  readonly #detector: CrashDetector;
  readonly #history = new CrashHistory();
  readonly #holdController: HoldController;
  readonly #trials: TrialCoordinator;
  readonly #recentAnswers = new AnswerHistory();
  readonly #partAnswers = new PartAnswers();
  #pendingAnswered: AnsweredRequest[] = [];
  /** When crashes were reported within the last second. */
  #reportTimes: Instant[] = [];
  /** Number of endpoint crashes in which this entry lost requests. */
  crashes = 0;

  constructor(deps: QuarantineControllerDependencies) {
    this.#deps = deps;
    this.#holdController = new HoldController(deps);
    const { self: { incarnation }, claimDelay } = deps;
    this.#trials = new TrialCoordinator(incarnation, claimDelay);
    this.#detector = new CrashDetector(({ id, life }) => {
      const current = deps.endpoints().get(id);
      return current === undefined || current.life !== life;
    }, deps.clock);
  }

  get holds(): HoldList {
    return this.#holdController.holds;
  }

  /**
   * Returns whether a request may be sent to an endpoint of the given services. Claims a trial if the request
   * needs one.
   */
  check(
    { id, fingerprint, services }: {
      id: RequestId;
      fingerprint: RequestFingerprint;
      services: readonly EndpointRecord["service"][];
    },
    now: Instant,
  ): QuarantineDecision {
    const { content } = fingerprint;
    const mayTry = createTrialPermission(this.#deps, { content, services });
    const decision = this.holds.check(fingerprint, mayTry, now);
    if (decision.kind !== "free" || !this.#history.isSuspect(content)) {
      return decision;
    }
    const crashes = this.#history.crashCount(content);
    const trial = this.#trials.requestTrial(
      content,
      { request: id, crashes },
      now,
    );
    if (trial === "claim") {
      this.#announceTrial({ content, sent: false });
    }
    return trial === "go" ? decision : { kind: "wait" };
  }

  /**
   * Whether a request is held, or was present at so many crashes that it is sent as a trial only. If such a request
   * is lost with its endpoint, this entry must not send it to another one.
   */
  isSuspect({ content }: Pick<RequestFingerprint, "content">): boolean {
    return this.holds.has(content) || this.#history.isSuspect(content);
  }

  /** Records that a request is written to an endpoint. */
  noteSent(
    endpoint: TrackedEndpoint,
    attempt: Omit<TrackedAttempt, "trial">,
    request: RequestId,
  ): void {
    const { fingerprint: { content }, sentAt } = attempt;
    const trial = this.#history.isSuspect(content);
    this.#detector.noteSent(endpoint, { ...attempt, trial });
    this.holds.noteTrial(content, sentAt);
    if (trial) {
      const crashes = this.#history.crashCount(content);
      this.#trials.begin(content, { request, crashes }, sentAt);
      this.#announceTrial({ content, sent: true });
    }
  }

  #announceTrial(trial: TriedRequest): void {
    this.#deps.send({ ...EMPTY_QUARANTINE_UPDATE, tried: [trial] }, "carriers");
  }

  /**
   * Records that an answer is not being read because the caller's connection is full, or that reading
   * resumed.
   */
  noteBackpressure(
    endpoint: TrackedEndpoint,
    attempt: AttemptId,
    change: { held: boolean; now: Instant },
  ): void {
    this.#detector.noteBackpressure(endpoint, attempt, change);
  }

  /** Records the outcome of an attempt. */
  noteOutcome(
    endpoint: TrackedEndpoint,
    { attempt, fingerprint, end }: {
      attempt: AttemptId;
      fingerprint: RequestFingerprint;
      end: AttemptOutcome;
    },
    now: Instant,
  ): void {
    if (end === "lost") {
      return this.#detector.noteLost(endpoint, attempt, now);
    }
    this.#detector.noteEnded(endpoint, attempt);
    if (end === "answered") {
      const { softwareVersion } = endpoint.record;
      const { content, parts = [] } = fingerprint;
      this.#partAnswers.add(parts, now);
      this.#noteAnswered({ content, softwareVersion }, now);
    }
  }

  /**
   * Records that a connection broke or an answer failed. Probes the port, which is closed if the process
   * ended.
   */
  noteBrokenConnection(endpoint: TrackedEndpoint, now: Instant): void {
    if (this.#detector.shouldProbe(endpoint, now)) {
      this.#deps.probePort(endpoint.record);
    }
  }

  /** Records that nothing listens at an endpoint's address, or that another process does. */
  notePortClosed(endpoint: Pick<EndpointRecord, "id" | "life">): void {
    this.#detector.notePortClosed(endpoint);
  }

  /** Applies a message from a peer. */
  apply(news: QuarantineUpdate, from: Incarnation, now: Instant): void {
    news.answered.forEach((answered) => this.#clearSuspicion(answered, now));
    this.applyHolds(news.holds, now);
    for (const { content, sent } of news.tried) {
      const crashes = this.#history.crashCount(content);
      this.#trials.noteRemote(content, { from, sent, crashes }, now);
    }
    for (const report of news.crashes) {
      this.#detector.noteReported(
        { id: report.endpoint, life: report.life },
        now,
      );
      this.#addReport(report, now);
    }
    this.#answerReports(news, now);
  }

  /** Applies holds received from a peer. */
  applyHolds(holds: readonly HoldNotice[], now: Instant): void {
    holds.forEach((notice) => this.#holdController.merge(notice, now));
  }

  /** Ends a hold at all entries, at an operator's command. Returns whether the request was held. */
  release(content: ContentDigest, now: Instant): boolean {
    this.#history.noteAnswered(content, now);
    return this.#holdController.release(content, now);
  }

  tick(now: Instant): void {
    this.#reportCrashes(now);
    this.#trials.removeExpired(now);
    if (this.#pendingAnswered.length > 0) {
      const answered = this.#pendingAnswered.splice(0, ANSWERED_PER_MESSAGE);
      this.#deps.send({ ...EMPTY_QUARANTINE_UPDATE, answered }, "carriers");
    }
    this.#holdController.tick(now);
  }

  #reportCrashes(now: Instant): void {
    this.#detector.takeCrashed(now).forEach((crashed) =>
      this.#reportCrash(crashed, now)
    );
  }

  #noteAnswered(answered: AnsweredRequest, now: Instant): void {
    const { content } = answered;
    this.#recentAnswers.add(content, now);
    if (this.isSuspect({ content })) {
      this.#announceAnswered(answered, now);
    } else {
      this.#history.noteAnswered(content, now);
    }
  }

  #announceAnswered(answered: AnsweredRequest, now: Instant): void {
    this.#pendingAnswered.push(answered);
    this.#clearSuspicion(answered, now);
  }

  #clearSuspicion(answered: AnsweredRequest, now: Instant): void {
    this.#history.noteAnswered(answered.content, now);
    this.#holdController.noteAnswered(answered, now);
  }

  /**
   * Announces which requests of a peer's crash reports were recently answered here, and are therefore not the cause
   * of the crash.
   */
  #answerReports({ crashes }: QuarantineUpdate, now: Instant): void {
    for (const { victims, softwareVersion } of crashes) {
      victims.filter(({ content }) => this.#recentAnswers.has(content, now))
        .forEach(({ content }) =>
          this.#announceAnswered({ content, softwareVersion }, now)
        );
    }
  }

  /** Logs and reports a crash that this entry detected. */
  #reportCrash({ record, at, attempts }: CrashedEndpoint, now: Instant): void {
    this.crashes++;
    const fields = crashLogFields(
      { record, at, attempts },
      {
        crashCountOf: (content) => this.#history.crashCount(content),
        lastAnswerOf: (part) => this.#partAnswers.lastAnswer(part),
      },
    );
    this.#deps.log("endpoint", "Endpoint has ended.", fields);
    const report = createReport({ record, at, attempts }, {
      endpoints: this.#deps.endpoints(),
      wasAnswered: (content) => this.#recentAnswers.has(content, now),
    }, now);
    this.#sendReport(report, now);
    this.#addReport(report, now);
  }

  #sendReport(report: CrashReport, now: Instant): void {
    this.#reportTimes = this.#reportTimes.filter((at) => now - at < SECOND_MS);
    if (this.#reportTimes.length >= MAX_REPORTS_PER_SECOND) {
      return;
    }
    this.#reportTimes.push(now);
    for (const part of splitReport(report)) {
      this.#deps.send(
        { ...EMPTY_QUARANTINE_UPDATE, crashes: [part] },
        "carriers",
      );
    }
  }

  #addReport(report: CrashReport, now: Instant): void {
    this.#history.add(report, now);
    this.#holdController.noteCrash(report, now);
    this.#history.findCrashingRequests((content) => this.holds.has(content))
      .forEach((
        request,
      ) => this.#holdController.hold(request, now));
  }
}
