/**
 * Holds back requests that crash the endpoints they run on.
 *
 * Limits on attempts, the retry budget and the health checks of endpoints each protect one request, one entry
 * or one endpoint. A request that crashes its endpoint and is sent again, with another id and through another
 * entry, is new to all of them, and so is another request with the part of its prompt that does it. One such request
 * crashed 29 engines within 17 seconds, and most other callers were not served in time. Entries therefore report to each
 * other which requests and which parts were present at each crash, evaluate the reports in the same way, and announce to
 * all when they hold one of them.
 *
 * @module
 */
import {
  after,
  type AttemptId,
  type EndpointId,
  hash32,
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
import { TrialCoordinator, type TrialRequest } from "./trial_coordinator.ts";
import { crashLogFields } from "./quarantine_log.ts";
import {
  type AnsweredSubject,
  type CrashReport,
  EMPTY_QUARANTINE_UPDATE,
  type HoldNotice,
  type QuarantineUpdate,
} from "./quarantine_messages.ts";
import { AnswerAnnouncements } from "./answer_announcements.ts";
import { RecentAnswers } from "./recent_answers.ts";
import { type CrashSubject, isPart, membersOf, subjectsOf } from "./subject.ts";
import {
  createTrialPermission,
  type RegionPredicate,
  type TrialDependencies,
} from "./trial_permission.ts";

/**
 * Entries that had a part answered tell the others at different times within a period of this length for each entry, so
 * that few announce it before they hear of the first.
 */
const ANNOUNCEMENT_SPREAD_MS = 20;
const UINT32_RANGE = 2 ** 32;
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
  /** Number of other entries that are live. */
  readonly peerCount: () => number;
  /** Has work kept away from an endpoint to which a peer sent a trial. */
  readonly noteOnTrial: (endpoint: EndpointId) => void;
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
  /** The endpoint answered the request completely. */
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
  readonly #recentAnswers = new RecentAnswers();
  readonly #announcements = new AnswerAnnouncements();
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
    { id, relayedBy, fingerprint, services, mayServe }: {
      id: RequestId;
      relayedBy?: Incarnation | undefined;
      fingerprint: RequestFingerprint;
      services: readonly EndpointRecord["service"][];
      mayServe: RegionPredicate;
    },
    now: Instant,
  ): QuarantineDecision {
    const mayTry = createTrialPermission(this.#deps, { services, mayServe });
    const decision = this.holds.check(fingerprint, mayTry, now);
    if (decision.kind !== "free") {
      return decision;
    }
    const suspects = this.#suspectsOf(fingerprint, now);
    return suspects.length === 0
      ? decision
      : this.#requestTrial(suspects, { request: id, relayedBy }, now);
  }

  /**
   * Claims a trial of the strongest of a request's suspects, so that requests with several of them don't each wait for
   * what another has claimed. The others must not be on trial meanwhile.
   */
  #requestTrial(
    suspects: readonly CrashSubject[],
    request: Omit<TrialRequest, "crashes">,
    now: Instant,
  ): QuarantineDecision {
    const [strongest] = [...suspects].sort((left, right) =>
      this.#history.crashCount(right) - this.#history.crashCount(left) ||
      (left < right ? -1 : 1)
    );
    const isBusy = suspects.some((subject) =>
      this.#history.isSettling(subject) ||
      this.#trials.isSentByOther(
        subject,
        this.#trialRequest(subject, request),
        now,
      )
    );
    if (isBusy) {
      return { kind: "wait" };
    }
    const trial = this.#trials.requestTrial(
      strongest!,
      this.#trialRequest(strongest!, request),
      now,
    );
    if (trial === "claim") {
      this.#announceTrials([strongest!], { sent: false });
    }
    return trial === "go"
      ? { kind: "limited", except: new Set(), trial: true }
      : { kind: "wait" };
  }

  /**
   * Whether something in a request is held, or was present at so many crashes that it is sent as a trial only. If such a
   * request is lost with its endpoint, this entry must not send it to another one.
   */
  isSuspect(
    fingerprint: Pick<RequestFingerprint, "content" | "parts">,
    now: Instant,
  ): boolean {
    return this.#suspectsOf(fingerprint, now).length > 0 ||
      this.holds.findApplicable(subjectsOf(fingerprint)).length > 0;
  }

  /** Records that a request is written to an endpoint. */
  noteSent(
    endpoint: TrackedEndpoint,
    attempt: Omit<TrackedAttempt, "trialOf">,
    request: RequestId,
  ): void {
    const { fingerprint, sentAt } = attempt;
    const subjects = subjectsOf(fingerprint);
    const held = this.holds.findApplicable(subjects).flatMap(membersOf);
    const trialOf = [
      ...new Set([...this.#suspectsOf(fingerprint, sentAt), ...held]),
    ];
    this.#detector.noteSent(endpoint, { ...attempt, trialOf });
    this.holds.noteTrial(subjects, sentAt);
    for (const subject of trialOf) {
      this.#trials.begin(
        subject,
        this.#trialRequest(subject, { request }),
        sentAt,
      );
    }
    if (trialOf.length > 0) {
      this.#announceTrials(trialOf, {
        sent: true,
        endpoints: [endpoint.record.id],
      });
    }
  }

  /** Records that the answer to a request has begun. */
  noteBegun(endpoint: TrackedEndpoint, attempt: AttemptId, now: Instant): void {
    this.#detector.noteBegun(endpoint, attempt, now);
  }

  #suspectsOf(
    fingerprint: Pick<RequestFingerprint, "content" | "parts">,
    now: Instant,
  ): CrashSubject[] {
    return subjectsOf(fingerprint).filter((subject) =>
      this.#history.isSuspect(subject) &&
      !(isPart(subject) && this.#recentAnswers.hasPart(subject, now))
    );
  }

  #trialRequest(
    subject: CrashSubject,
    request: Omit<TrialRequest, "crashes">,
  ): TrialRequest {
    return { ...request, crashes: this.#history.crashCount(subject) };
  }

  #announceTrials(
    subjects: readonly CrashSubject[],
    { sent, endpoints = [] }: {
      sent: boolean;
      endpoints?: readonly EndpointId[];
    },
  ): void {
    const tried = subjects.map((subject) => ({ subject, sent }));
    const news = { ...EMPTY_QUARANTINE_UPDATE, tried, onTrial: endpoints };
    this.#deps.send(news, "carriers");
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
    const tracked = this.#detector.noteEnded(endpoint, attempt);
    if (end === "answered") {
      const { softwareVersion } = endpoint.record;
      const sentAt = tracked?.sentAt ?? now;
      this.#noteAnswered(fingerprint, { softwareVersion, sentAt, now });
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
    for (const answered of news.answered) {
      const { subject } = answered;
      this.#announcements.cancel(subject);
      if (isPart(subject)) {
        this.#recentAnswers.addPart(subject, now);
      }
      this.#clearSuspicion(answered, now);
    }
    this.applyHolds(news.holds, now);
    for (const { subject, sent } of news.tried) {
      const crashes = this.#history.crashCount(subject);
      this.#trials.noteRemote(subject, { from, sent, crashes }, now);
    }
    const sent = news.tried.filter(({ sent }) => sent)
      .map(({ subject }) => subject);
    this.holds.noteTrial(sent, now);
    news.onTrial.forEach((endpoint) => this.#deps.noteOnTrial(endpoint));
    for (const report of news.crashes) {
      this.#detector.noteReported(
        { id: report.endpoint, life: report.life },
        now,
      );
      this.#addReport(report, now);
    }
    news.crashes.forEach((report) => this.#answerReport(report, now));
  }

  /** Applies holds received from a peer. */
  applyHolds(holds: readonly HoldNotice[], now: Instant): void {
    for (const notice of holds) {
      const isNew = !this.holds.has(notice.subject);
      this.#holdController.merge(notice, now);
      if (isNew) {
        this.#vetoHold(notice, now);
      }
    }
  }

  /** Ends a peer's hold of a part that was just answered here. */
  #vetoHold(
    { subject, versions: [softwareVersion] }: HoldNotice,
    now: Instant,
  ): void {
    const vetoed = this.holds.has(subject) && isPart(subject) &&
      this.#recentAnswers.vetoes(subject, now);
    if (vetoed && softwareVersion !== undefined) {
      const answered = { subject, softwareVersion };
      this.#announcements.add(answered, now);
      this.#clearSuspicion(answered, now);
    }
  }

  /** Ends a hold at all entries, at an operator's command. Returns whether there was one. */
  release(subject: CrashSubject, now: Instant): boolean {
    membersOf(subject).forEach((member) =>
      this.#history.noteAnswered(member, now)
    );
    return this.#holdController.release(subject, now);
  }

  tick(now: Instant): void {
    this.#reportCrashes(now);
    this.#holdCauses(now);
    this.#trials.removeExpired(now);
    const answered = this.#announcements.take(now);
    if (answered.length > 0) {
      this.#deps.send({ ...EMPTY_QUARANTINE_UPDATE, answered }, "carriers");
    }
    this.#holdController.tick(now);
  }

  #reportCrashes(now: Instant): void {
    this.#detector.takeCrashed(now).forEach((crashed) =>
      this.#reportCrash(crashed, now)
    );
  }

  /** Clears what an answered request contains of suspicion, and tells the others what they may suspect too. */
  #noteAnswered(
    fingerprint: RequestFingerprint,
    { softwareVersion, sentAt, now }: {
      softwareVersion: string;
      sentAt: Instant;
      now: Instant;
    },
  ): void {
    const { content, parts = [] } = fingerprint;
    const urgent = new Set(this.#suspectsOf(fingerprint, now));
    this.#recentAnswers.add(fingerprint, now);
    const cleared = new Set(
      this.holds.findApplicable(subjectsOf(fingerprint)),
    );
    cleared.forEach((subject) => urgent.add(subject));
    if (urgent.has(content)) {
      cleared.add(content);
    }
    this.#history.noteAnswered(content, now);
    for (const part of parts.filter((part) => this.#history.has(part))) {
      // A part that was sent before the latest crash may have been answered before it began to crash endpoints.
      this.#history.noteAnswered(part, sentAt);
      if (!this.#history.has(part)) {
        cleared.add(part);
      }
    }
    for (const subject of cleared) {
      const answered = { subject, softwareVersion };
      const delay = urgent.has(subject) ? 0 : this.#announcementDelay(subject);
      this.#announcements.add(answered, after(now, delay));
      this.#clearSuspicion(answered, now);
    }
  }

  #clearSuspicion(answered: AnsweredSubject, now: Instant): void {
    this.#history.noteAnswered(answered.subject, now);
    this.#holdController.noteAnswered(answered, now);
  }

  /**
   * Announces which requests of a peer's crash report were recently answered here, and are therefore not the cause of the
   * crash.
   */
  #answerReport(
    { victims, softwareVersion }: CrashReport,
    now: Instant,
  ): void {
    for (const { subject } of victims) {
      if (!isPart(subject) && this.#recentAnswers.hasRequest(subject, now)) {
        const answered = { subject, softwareVersion };
        this.#announcements.add(answered, now);
        this.#clearSuspicion(answered, now);
      }
    }
  }

  #announcementDelay(subject: CrashSubject): number {
    const hash = hash32(`${this.#deps.self.incarnation} ${subject}`);
    const spread = ANNOUNCEMENT_SPREAD_MS * this.#deps.peerCount();
    return spread * hash / UINT32_RANGE;
  }

  /** Logs and reports a crash that this entry detected. */
  #reportCrash({ record, at, attempts }: CrashedEndpoint, now: Instant): void {
    this.crashes++;
    const fields = crashLogFields(
      { record, at, attempts },
      {
        crashCountOf: (subject) => this.#history.crashCount(subject),
        lastAnswerOf: (part) => this.#recentAnswers.lastAnswerTo(part),
      },
    );
    this.#deps.log("endpoint", "Endpoint has ended.", fields);
    const report = createReport({ record, at, attempts }, {
      endpoints: this.#deps.endpoints(),
      wasAnswered: (content) => this.#recentAnswers.hasRequest(content, now),
      crashCountOf: (subject) => this.#history.crashCount(subject),
      lastAnswerTo: (part) => this.#recentAnswers.lastAnswerTo(part),
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
  }

  /** Holds what caused the crashes that have been reported completely. */
  #holdCauses(now: Instant): void {
    const settled = this.#history.takeSettled(now);
    if (settled.length === 0) {
      return;
    }
    this.#history.findCrashingSubjects(({ present, trials }) =>
      this.holds.findPresent(present, trials)
    ).filter(({ subject }) =>
      !(isPart(subject) && this.#recentAnswers.vetoes(subject, now))
    ).forEach((cause) => this.#holdController.hold(cause, now));
    settled.forEach((crash) => this.#holdController.narrowGroups(crash, now));
  }
}
