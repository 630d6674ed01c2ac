/**
 * Learns from other entries how current the document is.
 *
 * A few entries of a region read the platform often; the others ask them. Only durations travel: an answer's
 * age is added to the time since its question was *sent*, by the asker's own clock, so that no time that
 * either spent on a link, in a queue or standing still is left out. What comes unasked proves nothing.
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
import type { Currency, CurrencyMark } from "../customers/index.ts";
import type {
  CataloguePosition,
  CurrencyAnswer,
  CurrencyMessage,
  CurrencyQuestion,
  PictureNews,
} from "../routes/index.ts";

/** Older knowledge is asked about; at rest, when hardly anything is decided from it, later. */
const ASK_AGE_MS = 1_100;
const RESTING_ASK_AGE_MS = 1_700;
/** Between two questions: the longest way there and back, and some. */
const ASK_PAUSE_MS = 300;
/** Questions are counted from a drawn number: an answer to a former process at this address proves nothing. */
const MOST_FIRST_SEQUENCE = 1_000_000;
/** Answers to older questions are not waited for. */
const MOST_OPEN = 8;

/** What the exchange works with. */
export interface ExchangeSources {
  readonly currency: Currency;
  readonly random: Randomness;
  /** Whether entries live on each other's word at all. */
  readonly active: () => boolean;
  readonly resting: () => boolean;
  readonly self: {
    readonly incarnation: CurrencyAnswer["incarnation"];
    readonly peerAddress: string;
  };
  readonly holds: () => { version: Revision; position: CataloguePosition };
  /** What changed since a position, as far as it is remembered and small. */
  readonly newsSince: (position: CataloguePosition) => PictureNews | undefined;
  /** Whom to ask: those that read for others first, then, from the second try on, anybody. */
  readonly source: (tries: number, now: Instant) => string | undefined;
  readonly send: (to: string, message: CurrencyMessage) => void;
  /** Another entry holds a picture, and knew its document to be the newest at an instant. */
  readonly told: (
    picture: Pick<CurrencyAnswer, "version" | "position" | "news"> & {
      readonly at: Instant;
      readonly from: string;
    },
    now: Instant,
  ) => void;
}

interface Question {
  readonly mark: CurrencyMark;
  readonly to: string;
}

/** Asks and answers. */
export class CurrencyExchange {
  readonly #sources: ExchangeSources;
  readonly #open = new Map<number, Question>();
  #sequence: number;
  #tries = 0;
  #nextAt = instant(0);

  constructor(sources: ExchangeSources) {
    this.#sources = sources;
    this.#sequence = Math.floor(sources.random.next() * MOST_FIRST_SEQUENCE);
  }

  tick(now: Instant): void {
    const { currency, active, resting } = this.#sources;
    const due = resting() ? RESTING_ASK_AGE_MS : ASK_AGE_MS;
    if (active() && now >= this.#nextAt && currency.age(now) >= due) {
      this.#ask(now);
    }
  }

  receive(message: CurrencyMessage, now: Instant): void {
    if (message.kind === "question") {
      this.#answer(message, now);
    } else {
      this.#learn(message, now);
    }
  }

  #ask(now: Instant): void {
    const { currency, holds, self, send, source } = this.#sources;
    const to = source(this.#tries, now);
    this.#nextAt = after(now, ASK_PAUSE_MS);
    if (to === undefined) {
      return;
    }
    this.#tries++;
    this.#sequence++;
    this.#open.set(this.#sequence, { mark: currency.mark(now), to });
    if (this.#open.size > MOST_OPEN) {
      this.#open.delete(this.#open.keys().next().value!);
    }
    send(to, {
      kind: "question",
      from: self.peerAddress,
      sequence: this.#sequence,
      position: holds().position,
    });
  }

  #answer(
    { from, sequence, position }: CurrencyQuestion,
    now: Instant,
  ): void {
    const { currency, holds, newsSince, self, send } = this.#sources;
    const age = currency.age(now);
    if (age < Infinity) {
      const { incarnation } = self;
      const news = newsSince(position);
      send(from, {
        kind: "answer",
        incarnation,
        sequence,
        ...holds(),
        age,
        news,
      });
    }
  }

  #learn(
    { sequence, version, position, age, news }: CurrencyAnswer,
    now: Instant,
  ): void {
    const question = this.#open.get(sequence);
    if (question === undefined) {
      return;
    }
    this.#open.delete(sequence);
    const { currency, told } = this.#sources;
    const at = question.mark - age as CurrencyMark;
    const passed: Milliseconds = milliseconds(currency.mark(now) - at);
    told(
      {
        version,
        position,
        news,
        at: instant(now - passed),
        from: question.to,
      },
      now,
    );
    // After `told`: what it says of the epoch may have put such proofs in doubt.
    currency.prove({ version, at });
    if (currency.age(now) < ASK_AGE_MS) {
      this.#tries = 0;
    }
  }
}
