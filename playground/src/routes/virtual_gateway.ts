/**
 * One entry in virtual time: the real gateway logic with fake sockets.
 *
 * @module
 */
import {
  type CallHead,
  Gateway,
  type GatewayEffect,
  type GatewayEvent,
  type GatewayIdentity,
  type Incarnation,
  type Instant,
  instant,
  milliseconds,
  type RequestId,
  SeededRandomness,
} from "@sassafrasstep/core";
import type { Spot } from "../scenario/network.ts";
import type { RouteWorld } from "./route_world.ts";
import {
  CONNECT_MS,
  type Recipient,
  VirtualAttempts,
} from "./virtual_attempts.ts";

/** An entry in virtual time, which may be started, stopped, suspended and killed. */
export class VirtualGateway {
  readonly name: string;
  readonly spot: Spot;
  readonly #world: RouteWorld;
  readonly #seed: number;
  readonly #recipients = new Map<RequestId, Recipient>();
  readonly #heads = new Map<RequestId, CallHead>();
  readonly #attempts: VirtualAttempts;
  #gateway: Gateway | undefined;
  #incarnationNumber = 0;
  /** Total time in suspension, which the process's clock did not count. */
  #sleptMs = 0;
  /** When the current process was started. */
  startedAt = 0;
  #nextTickAt = 0;
  #requestCount = 0;
  #frozenAt: number | undefined;
  #pendingEvents: (() => void)[] = [];

  constructor(
    name: string,
    { spot, world, seed }: { spot: Spot; world: RouteWorld; seed: number },
  ) {
    this.name = name;
    this.spot = spot;
    this.#world = world;
    this.#seed = seed;
    this.#attempts = new VirtualAttempts(this, {
      world,
      recipients: this.#recipients,
      heads: this.#heads,
    });
  }

  get gateway(): Gateway | undefined {
    return this.#gateway;
  }

  get alive(): boolean {
    return this.#gateway !== undefined;
  }

  get frozen(): boolean {
    return this.#frozenAt !== undefined;
  }

  /** Starts the process under a new incarnation. */
  start(self: Omit<GatewayIdentity, "incarnation">): void {
    this.#incarnationNumber++;
    this.startedAt = this.#world.time.now;
    this.#gateway = new Gateway({
      self: {
        ...self,
        incarnation: `${this.name}-${this.#incarnationNumber}` as Incarnation,
      },
      random: new SeededRandomness(this.#seed + this.#incarnationNumber),
    }, this.#now());
    this.#tick(this.#incarnationNumber);
  }

  /** Ends the process without notice; answers to open requests break off. */
  kill(): void {
    this.#gateway = undefined;
    this.#attempts.abortAll();
    const open = [...this.#recipients.values()];
    this.#recipients.clear();
    open.forEach((recipient) => recipient.broken());
  }

  stop(): void {
    this.handle({ kind: "stop" });
  }

  /** Pauses the process; events that arrive meanwhile are queued. */
  freeze(): void {
    this.#frozenAt = this.#world.time.now;
  }

  thaw(): void {
    if (this.#frozenAt === undefined) {
      return;
    }
    this.#frozenAt = undefined;
    const pending = this.#pendingEvents;
    this.#pendingEvents = [];
    this.handle({ kind: "tick" });
    pending.forEach((run) => run());
  }

  /** Suspends the VM; the process's clock stops too. */
  sleep(durationMs: number): void {
    this.freeze();
    this.#world.time.after(durationMs, () => {
      this.#sleptMs += durationMs;
      this.#frozenAt = undefined;
      this.handle({ kind: "slept", time: milliseconds(durationMs) });
      this.#frozenAt = this.#world.time.now;
      this.thaw();
    });
  }

  /** Receives a request with its whole body. */
  arrive(head: Omit<CallHead, "id">, recipient: Recipient): RequestId {
    this.#requestCount++;
    const id =
      `${this.name}.${this.#incarnationNumber}.${this.#requestCount}` as RequestId;
    this.#recipients.set(id, recipient);
    // Earlier builds don't read the parts of prompts.
    const fingerprint = this.#world.oldEntries.has(this.name)
      ? { ...head.fingerprint, parts: undefined }
      : head.fingerprint;
    const fullHead = { ...head, fingerprint, id };
    this.#heads.set(id, fullHead);
    this.handle({ kind: "arrived", head: fullHead });
    this.#bringTickForward();
    return id;
  }

  /** Closes the caller's connection of a request. */
  leave(id: RequestId): void {
    this.#recipients.delete(id);
    this.handle({ kind: "callerGone", request: id });
  }

  /** Passes an event to the gateway and applies the effects, or queues it while the process is paused. */
  handle(event: GatewayEvent): readonly GatewayEffect[] {
    if (this.#frozenAt !== undefined) {
      this.#pendingEvents.push(() => this.handle(event));
      return [];
    }
    const effects = this.#gateway?.handle(event, this.#now()) ?? [];
    effects.forEach((effect) => this.#applyEffect(effect));
    return effects;
  }

  #now(): Instant {
    return instant(this.#world.time.now - this.#sleptMs);
  }

  #tick(incarnation: number): void {
    if (
      incarnation !== this.#incarnationNumber || this.#gateway === undefined
    ) {
      return;
    }
    if (this.#frozenAt === undefined) {
      this.handle({ kind: "tick" });
    }
    this.#scheduleTick(incarnation);
  }

  #scheduleTick(incarnation: number): void {
    const interval = this.#gateway?.tickInterval ?? 0;
    this.#nextTickAt = this.#world.time.now + interval;
    this.#world.time.after(interval, () => {
      if (this.#world.time.now >= this.#nextTickAt) {
        this.#tick(incarnation);
      }
    });
  }

  /** Schedules an earlier tick if the gateway's tick interval has become shorter than the remaining wait. */
  #bringTickForward(): void {
    const interval = this.#gateway?.tickInterval ?? 0;
    if (this.#world.time.now + interval < this.#nextTickAt) {
      this.#scheduleTick(this.#incarnationNumber);
    }
  }

  #applyEffect(effect: GatewayEffect): void {
    switch (effect.kind) {
      case "datagram":
        return this.#world.links.sendDatagram(this, effect.to, effect.message);
      case "readCatalogue":
        return this.#readCatalogue(effect);
      case "askNewest":
        return this.#askNewest(effect);
      case "copyCatalogue":
        return this.#world.links.fetchCatalogue(
          this,
          effect.address,
          (snapshot) => this.handle({ kind: "catalogueCopied", snapshot }),
        );
      case "send":
        return this.#attempts.send(effect.attempt);
      case "abort":
        return this.#attempts.abort(effect.attempt);
      case "knock":
        return this.#probePort(effect);
      case "checkHealth":
        return this.#checkHealth(effect);
      case "refuse":
        return this.#refuse(effect);
      case "breakOff":
        return this.#endRequest(effect.request, (to) => to.broken());
      case "complete":
        return this.#endRequest(effect.request, (to) => to.complete());
      case "exit":
        return this.kill();
      case "log":
        this.#world.log.push({
          at: this.#world.time.now,
          entry: this.name,
          text: `${effect.part}: ${effect.text}`,
          fields: effect.fields,
        });
    }
  }

  #probePort(
    { endpoint, life, address }: Extract<GatewayEffect, { kind: "knock" }>,
  ): void {
    this.#world.time.after(CONNECT_MS, () => {
      if (this.#world.links.isPortClosed(this, address)) {
        this.handle({ kind: "portClosed", endpoint, life });
      }
    });
  }

  #checkHealth(
    check: Extract<GatewayEffect, { kind: "checkHealth" }>,
  ): void {
    const { endpoint, life } = check;
    this.#world.time.after(CONNECT_MS, () => {
      const coldFor = this.#world.links.coldTimeOf(this, check);
      if (coldFor !== undefined) {
        this.handle({ kind: "healthChecked", endpoint, life, coldFor });
      }
    });
  }

  #readCatalogue(
    effect: Extract<GatewayEffect, { kind: "readCatalogue" }>,
  ): void {
    this.#callStore({
      timeoutMs: effect.timeout,
      failure: { kind: "catalogueFailed", detail: "Read timed out" },
    }, (answer) => this.#world.store.read(this.name, effect, answer));
  }

  #askNewest(
    { timeout }: Extract<GatewayEffect, { kind: "askNewest" }>,
  ): void {
    this.#callStore({
      timeoutMs: timeout,
      failure: { kind: "catalogueNewest", newest: undefined },
    }, (answer) => this.#world.store.askNewest(this.name, answer));
  }

  /** Makes a call to the store, of which the process handles the answer or, after the timeout, the failure. */
  #callStore(
    { timeoutMs, failure }: { timeoutMs: number; failure: GatewayEvent },
    call: (answer: (event: GatewayEvent) => void) => void,
  ): void {
    const incarnation = this.#incarnationNumber;
    let open = true;
    const handleOnce = (event: GatewayEvent): void => {
      if (open && incarnation === this.#incarnationNumber) {
        open = false;
        this.handle(event);
      }
    };
    if (this.#world.links.reachesStore(this)) {
      call(handleOnce);
    }
    this.#world.time.after(timeoutMs, () => handleOnce(failure));
  }

  #refuse(
    { request, refusal }: Extract<GatewayEffect, { kind: "refuse" }>,
  ): void {
    this.#endRequest(request, (to) => {
      to.head({
        status: refusal.status,
        notRun: refusal.verdict.kind === "not_run",
        namesRequest: false,
        fromEndpoint: false,
        load: undefined,
        retryAfter: refusal.retryAfter,
        limit: undefined,
        leaving: false,
        rest: undefined,
        offered: refusal.offered,
      });
      to.complete();
    });
  }

  #endRequest(id: RequestId, end: (to: Recipient) => void): void {
    const recipient = this.#recipients.get(id);
    this.#recipients.delete(id);
    this.#heads.delete(id);
    if (recipient !== undefined) {
      end(recipient);
    }
  }
}
