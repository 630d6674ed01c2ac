import {
  type EndpointId,
  EndpointLimits,
  type Incarnation,
  instant,
  type LimitMessage,
  SeededRandomness,
} from "../../index.ts";

/** Step of the virtual time. */
const STEP_MS = 5;
/** Time that the endpoint takes to answer. */
const ANSWER_MS = 5;
const ENDPOINT = "e" as EndpointId;

/** Something that happens to the modelled region. */
export type LimitEvent =
  | { readonly kind: "limit"; readonly perSecond: number | undefined }
  /** Another entry becomes the issuer. Each entry learns of it after its own random delay. */
  | {
    readonly kind: "issuer";
    readonly entry: number;
    readonly maxLagMs: number;
  }
  | { readonly kind: "pause"; readonly entry: number; readonly time: number }
  | { readonly kind: "restart"; readonly entry: number }
  | { readonly kind: "life" };

interface Entry {
  limits: EndpointLimits;
  incarnation: Incarnation;
  issuer: number;
  nextIssuer: { entry: number; at: number } | undefined;
  pausedUntil: number;
  readonly inFlight: { at: number; message: LimitMessage }[];
  readonly pendingAnswers: { at: number; perSecond: number | undefined }[];
}

/** Simulates a region whose entries share one endpoint, in virtual time. */
export class LimitModel {
  /** Times at which requests reached the endpoint. */
  readonly arrivals: number[] = [];
  /** Limits that the endpoint had, with the time from which each was in force. */
  readonly limits: { at: number; perSecond: number | undefined }[] = [
    { at: 0, perSecond: undefined },
  ];
  readonly #random: SeededRandomness;
  readonly #lossProbability: number;
  readonly #requestPeriodMs: number;
  readonly #entries: Entry[] = [];
  #now = 0;
  #life = 1;
  #starts = 0;

  /** `requestPeriodMs`: interval between the requests of each entry. `loss`: probability that a message is lost. */
  constructor(
    { entries, requestPeriodMs, loss, seed }: {
      entries: number;
      requestPeriodMs: number;
      loss: number;
      seed: number;
    },
  ) {
    this.#random = new SeededRandomness(seed);
    this.#lossProbability = loss;
    this.#requestPeriodMs = requestPeriodMs;
    for (let index = 0; index < entries; index++) {
      this.#entries.push(this.#start(index, 0));
    }
  }

  /** The endpoint's current limit, in requests per second. */
  get limit(): number | undefined {
    return this.limits.at(-1)!.perSecond;
  }

  apply(event: LimitEvent): void {
    const entry = "entry" in event
      ? this.#entries[event.entry % this.#entries.length]!
      : undefined;
    switch (event.kind) {
      case "limit":
        this.limits.push({ at: this.#now, perSecond: event.perSecond });
        return;
      case "issuer":
        for (const other of this.#entries) {
          const at = this.#now + event.maxLagMs * this.#random.next();
          const index = event.entry % this.#entries.length;
          other.nextIssuer = { entry: index, at };
        }
        return;
      case "pause":
        entry!.pausedUntil = this.#now + event.time;
        return;
      case "restart": {
        const index = event.entry % this.#entries.length;
        this.#entries[index] = this.#start(index, entry!.issuer);
        return;
      }
      case "life":
        // After a restart the endpoint states its limit again, and counts as another endpoint.
        this.#life++;
        this.limits.push({ at: this.#now, perSecond: this.limit });
    }
  }

  run(time: number): void {
    const until = this.#now + time;
    while (this.#now < until) {
      this.#now += STEP_MS;
      this.#entries.forEach((entry, index) => this.#step(entry, index));
    }
  }

  #start(index: number, issuer: number): Entry {
    const incarnation = `${index}.${this.#starts++}` as Incarnation;
    const entry: Entry = {
      incarnation,
      issuer,
      nextIssuer: undefined,
      pausedUntil: 0,
      inFlight: [],
      pendingAnswers: [],
      limits: new EndpointLimits({
        incarnation,
        issuerOf: () => this.#entries[entry.issuer]!.incarnation,
        peers: () =>
          this.#entries.filter((other) => other !== entry)
            .map((other) => other.incarnation),
        reachableFraction: () => 1,
        isPublished: () => true,
        send: (to, message) => this.#send(to, message),
        log: () => {},
      }, instant(this.#now)),
    };
    return entry;
  }

  #send(to: Incarnation, message: LimitMessage): void {
    const receiver = this.#entries.find(({ incarnation }) =>
      incarnation === to
    );
    if (this.#random.next() >= this.#lossProbability) {
      const at = this.#now + 1 + 20 * this.#random.next();
      receiver?.inFlight.push({ at, message });
    }
  }

  #step(entry: Entry, index: number): void {
    if (this.#now < entry.pausedUntil) {
      return;
    }
    const now = instant(this.#now);
    if (entry.pausedUntil > 0) {
      this.#resume(entry);
    }
    if (entry.nextIssuer !== undefined && now >= entry.nextIssuer.at) {
      entry.issuer = entry.nextIssuer.entry;
      entry.nextIssuer = undefined;
    }
    takeDue(entry.inFlight, now).forEach(({ message }) =>
      entry.limits.receive(message, now)
    );
    takeDue(entry.pendingAnswers, now).forEach(({ perSecond }) =>
      this.#hear(entry, perSecond)
    );
    entry.limits.tick(now);
    const phase = index * STEP_MS;
    if ((this.#now + phase) % this.#requestPeriodMs < STEP_MS) {
      this.#sendRequest(entry);
    }
  }

  #resume(entry: Entry): void {
    entry.pausedUntil = 0;
    entry.limits.onResume();
  }

  #hear({ limits }: Entry, perSecond: number | undefined): void {
    limits.handleAnswer(this.#record(), {
      stated: perSecond === undefined
        ? undefined
        : { kind: "value", value: perSecond },
      answer: { call: "c", status: 200 },
    }, instant(this.#now));
  }

  /** Handles one request of an entry: sends it if there is a permit, and drops it otherwise. */
  #sendRequest(entry: Entry): void {
    const now = instant(this.#now);
    const record = this.#record();
    if (!entry.limits.allows(record, now)) {
      return;
    }
    const permit = entry.limits.take(record, now);
    if (entry.limits.authorizeSend(record, permit, now)) {
      this.arrivals.push(this.#now);
      const at = this.#now + ANSWER_MS;
      entry.pendingAnswers.push({ at, perSecond: this.limit });
    }
  }

  #record(): Parameters<EndpointLimits["limitOf"]>[0] {
    return { id: ENDPOINT, life: this.#life } as never;
  }
}

function takeDue<Item extends { readonly at: number }>(
  items: Item[],
  now: number,
): Item[] {
  const due = items.filter(({ at }) => at <= now);
  const left = items.filter(({ at }) => at > now);
  items.splice(0, items.length, ...left);
  return due;
}
