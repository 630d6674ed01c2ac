/**
 * Limits that endpoints state in their answers: requests a second from all entries together.
 *
 * @module
 */
import type { EndpointId, EndpointLife, Instant } from "../ids/index.ts";
import { type EndpointRecord, isSameLife } from "../routes/index.ts";
import type { Stated, StatingAnswer, TermsLog } from "./stated.ts";

/** Endpoints whose words are remembered; each start of one may have an id of its own. */
const MOST_ENDPOINTS = 4_096;

interface KnownLimit {
  readonly life: EndpointLife | undefined;
  /** `undefined` once it is lifted. */
  perSecond: number | undefined;
  statedAt: Instant;
  /** The last text that was ignored. */
  ignored: string | undefined;
}

/** What is known of endpoints' limits. */
export class EndpointLimits {
  readonly #log: TermsLog;
  readonly #limits = new Map<EndpointId, KnownLimit>();
  /** Values that were ignored since the start. */
  ignored = 0;

  constructor({ log }: { log: TermsLog }) {
    this.#log = log;
  }

  /** Endpoints that have a limit at present. */
  get size(): number {
    return [...this.#limits.values()].filter(({ perSecond }) =>
      perSecond !== undefined
    ).length;
  }

  /** Requests a second, `undefined` for an endpoint without a limit. */
  limitOf({ id, life }: EndpointRecord): number | undefined {
    const known = this.#limits.get(id);
    return known !== undefined && isSameLife(known, { life })
      ? known.perSecond
      : undefined;
  }

  /** Takes what the head of an answer states; an answer without a limit lifts it. */
  hear(
    record: EndpointRecord,
    { stated, answer }: {
      stated: Stated | undefined;
      answer: StatingAnswer;
    },
    now: Instant,
  ): void {
    if (stated?.kind === "invalid") {
      return this.#ignore(record, { stated, answer }, now);
    }
    const before = this.limitOf(record);
    const perSecond = stated?.value;
    if (perSecond === undefined && before === undefined) {
      return;
    }
    const known = this.#open(record, now);
    known.perSecond = perSecond;
    known.statedAt = now;
    if (perSecond !== before) {
      const text = perSecond === undefined
        ? "Endpoint lifted its limit."
        : "Endpoint stated a limit.";
      this.#log(text, {
        endpoint: record.id,
        service: record.service,
        perSecond,
        before,
        ...answer,
      });
    }
  }

  #ignore(
    record: EndpointRecord,
    { stated: { text, reason }, answer }: {
      stated: Extract<Stated, { kind: "invalid" }>;
      answer: StatingAnswer;
    },
    now: Instant,
  ): void {
    const known = this.#open(record, now);
    this.ignored++;
    if (known.ignored !== text) {
      known.ignored = text;
      this.#log("Limit of an endpoint is ignored.", {
        endpoint: record.id,
        text,
        reason,
        inForce: known.perSecond,
        ...answer,
      });
    }
  }

  #open({ id, life }: EndpointRecord, now: Instant): KnownLimit {
    const known = this.#limits.get(id);
    if (known !== undefined && isSameLife(known, { life })) {
      return known;
    }
    const opened = {
      life,
      perSecond: undefined,
      statedAt: now,
      ignored: undefined,
    };
    this.#limits.delete(id);
    this.#limits.set(id, opened);
    if (this.#limits.size > MOST_ENDPOINTS) {
      const [oldest] = this.#limits.keys();
      this.#limits.delete(oldest!);
    }
    return opened;
  }
}
