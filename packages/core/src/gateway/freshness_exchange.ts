/**
 * Learns from peers how recently the local document was the newest.
 *
 * A few readers of a region read the platform often, and their peers ask them. Only durations are
 * transmitted: the age in an answer is added to the time since its question was *sent*, by the asker's own
 * clock. That way time spent in transit, in queues or during pauses of either process is always counted.
 * Unsolicited answers prove nothing.
 *
 * @module
 */
import {
  after,
  type Instant,
  instant,
  type Milliseconds,
  milliseconds,
  type Randomness,
  type Revision,
} from "../ids/index.ts";
import type { DocumentFreshness, FreshnessMark } from "../customers/index.ts";
import type {
  CatalogueDelta,
  CataloguePosition,
  FreshnessMessage,
  FreshnessRequest,
  FreshnessResponse,
} from "../routes/index.ts";

/**
 * Peers are asked once the last proof is older than this; later on standby, where hardly anything is decided
 * by the document.
 */
const ASK_AGE_MS = 1_100;
const STANDBY_ASK_AGE_MS = 1_700;
/** Interval between two questions: the longest round trip, with some margin. */
const ASK_INTERVAL_MS = 300;
/**
 * Sequence numbers start at a random number below this, so that a process ignores answers to a former process
 * at the same address.
 */
const MAX_FIRST_SEQUENCE = 1_000_000;
/** Maximum number of unanswered questions. Answers to older questions are ignored. */
const MAX_PENDING_QUESTIONS = 8;

/** Dependencies of the exchange. */
export interface FreshnessExchangeDependencies {
  readonly documentFreshness: DocumentFreshness;
  readonly random: Randomness;
  /** Whether the exchange is used, as it is where customers' keys are required. */
  readonly isEnabled: () => boolean;
  readonly isStandby: () => boolean;
  readonly self: {
    readonly incarnation: FreshnessResponse["incarnation"];
    readonly peerAddress: string;
  };
  readonly localState: () => { version: Revision; position: CataloguePosition };
  /** The changes since a position, if they are remembered and few. */
  readonly changesSince: (
    position: CataloguePosition,
  ) => CatalogueDelta | undefined;
  /** Selects the peer to ask: readers first, and from the second attempt on any peer. */
  readonly selectPeer: (attempt: number, now: Instant) => string | undefined;
  readonly send: (to: string, message: FreshnessMessage) => void;
  /**
   * Called with the state that a peer reported, and the time at which its document was known to be the
   * newest.
   */
  readonly onPeerReport: (
    report: Pick<FreshnessResponse, "version" | "position" | "news"> & {
      readonly at: Instant;
      readonly from: string;
    },
    now: Instant,
  ) => void;
}

interface PendingQuestion {
  readonly sentAt: FreshnessMark;
  readonly to: string;
}

/** Asks peers how recent their document is, and answers their questions. */
export class FreshnessExchange {
  readonly #dependencies: FreshnessExchangeDependencies;
  readonly #pending = new Map<number, PendingQuestion>();
  #sequence: number;
  #attempts = 0;
  #nextQuestionAt = instant(0);

  constructor(dependencies: FreshnessExchangeDependencies) {
    this.#dependencies = dependencies;
    this.#sequence = Math.floor(
      dependencies.random.next() * MAX_FIRST_SEQUENCE,
    );
  }

  tick(now: Instant): void {
    const { documentFreshness, isEnabled, isStandby } = this.#dependencies;
    const maxAge = isStandby() ? STANDBY_ASK_AGE_MS : ASK_AGE_MS;
    if (
      isEnabled() && now >= this.#nextQuestionAt &&
      documentFreshness.age(now) >= maxAge
    ) {
      this.#sendQuestion(now);
    }
  }

  receive(message: FreshnessMessage, now: Instant): void {
    if (message.kind === "question") {
      this.#sendAnswer(message, now);
    } else {
      this.#applyAnswer(message, now);
    }
  }

  #sendQuestion(now: Instant): void {
    const { documentFreshness, localState, self, send, selectPeer } =
      this.#dependencies;
    const to = selectPeer(this.#attempts, now);
    this.#nextQuestionAt = after(now, ASK_INTERVAL_MS);
    if (to === undefined) {
      return;
    }
    this.#attempts++;
    this.#sequence++;
    this.#pending.set(this.#sequence, {
      sentAt: documentFreshness.mark(now),
      to,
    });
    if (this.#pending.size > MAX_PENDING_QUESTIONS) {
      this.#pending.delete(this.#pending.keys().next().value!);
    }
    send(to, {
      kind: "question",
      from: self.peerAddress,
      sequence: this.#sequence,
      position: localState().position,
    });
  }

  #sendAnswer(
    { from, sequence, position }: FreshnessRequest,
    now: Instant,
  ): void {
    const { documentFreshness, localState, changesSince, self, send } =
      this.#dependencies;
    const age = documentFreshness.age(now);
    if (age < Infinity) {
      const { incarnation } = self;
      const news = changesSince(position);
      send(from, {
        kind: "answer",
        incarnation,
        sequence,
        ...localState(),
        age,
        news,
      });
    }
  }

  #applyAnswer(
    { sequence, version, position, age, news }: FreshnessResponse,
    now: Instant,
  ): void {
    const question = this.#pending.get(sequence);
    if (question === undefined) {
      return;
    }
    this.#pending.delete(sequence);
    const { documentFreshness, onPeerReport } = this.#dependencies;
    const at = question.sentAt - age as FreshnessMark;
    const elapsed: Milliseconds = milliseconds(
      documentFreshness.mark(now) - at,
    );
    onPeerReport(
      {
        version,
        position,
        news,
        at: instant(now - elapsed),
        from: question.to,
      },
      now,
    );
    // After `onPeerReport`, which may learn of a new epoch and invalidate proofs such as this one.
    documentFreshness.addProof({ version, at });
    if (documentFreshness.age(now) < ASK_AGE_MS) {
      this.#attempts = 0;
    }
  }
}
