/**
 * One entry under virtual time: the gateway's decisions with fakes for its sockets.
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

/** One entry. */
export class VirtualGateway {
  readonly name: string;
  readonly spot: Spot;
  readonly #world: RouteWorld;
  readonly #seed: number;
  readonly #recipients = new Map<RequestId, Recipient>();
  readonly #heads = new Map<RequestId, CallHead>();
  readonly #attempts: VirtualAttempts;
  #gateway: Gateway | undefined;
  #life = 0;
  /** Time that its clock did not count. */
  #slept = 0;
  /** When its present life began. */
  startedAt = 0;
  #nextTickAt = 0;
  #requests = 0;
  #frozenAt: number | undefined;
  #held: (() => void)[] = [];

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

  /** Begins a new life. */
  start(self: Omit<GatewayIdentity, "incarnation">): void {
    this.#life++;
    this.startedAt = this.#world.time.now;
    this.#gateway = new Gateway({
      self: {
        ...self,
        incarnation: `${this.name}-${this.#life}` as Incarnation,
      },
      random: new SeededRandomness(this.#seed + this.#life),
    }, this.#now());
    this.#tick(this.#life);
  }

  /** Ends without a word. */
  kill(): void {
    this.#gateway = undefined;
    this.#attempts.abortAll();
    const open = [...this.#recipients.values()];
    this.#recipients.clear();
    open.forEach((recipient) => recipient.broken());
  }

  stop(): void {
    this.tell({ kind: "stop" });
  }

  /** The process stands still; what arrives waits in its sockets. */
  freeze(): void {
    this.#frozenAt = this.#world.time.now;
  }

  thaw(): void {
    if (this.#frozenAt === undefined) {
      return;
    }
    this.#frozenAt = undefined;
    const held = this.#held;
    this.#held = [];
    this.tell({ kind: "tick" });
    held.forEach((run) => run());
  }

  /** The machine is suspended, and the process's own clock with it. */
  sleep(time: number): void {
    this.freeze();
    this.#world.time.after(time, () => {
      this.#slept += time;
      this.#frozenAt = undefined;
      this.tell({ kind: "slept", time: milliseconds(time) });
      this.#frozenAt = this.#world.time.now;
      this.thaw();
    });
  }

  /** A request arrives with its whole body. */
  arrive(head: Omit<CallHead, "id">, recipient: Recipient): RequestId {
    this.#requests++;
    const id = `${this.name}.${this.#life}.${this.#requests}` as RequestId;
    this.#recipients.set(id, recipient);
    const whole = { ...head, id };
    this.#heads.set(id, whole);
    this.tell({ kind: "arrived", head: whole });
    this.#hasten();
    return id;
  }

  /** The caller closes its connection. */
  leave(id: RequestId): void {
    this.#recipients.delete(id);
    this.tell({ kind: "callerGone", request: id });
  }

  /** Tells the gateway, now or when it wakes. */
  tell(event: GatewayEvent): readonly GatewayEffect[] {
    if (this.#frozenAt !== undefined) {
      this.#held.push(() => this.tell(event));
      return [];
    }
    const effects = this.#gateway?.handle(event, this.#now()) ?? [];
    effects.forEach((effect) => this.#run(effect));
    return effects;
  }

  #now(): Instant {
    return instant(this.#world.time.now - this.#slept);
  }

  #tick(life: number): void {
    if (life !== this.#life || this.#gateway === undefined) {
      return;
    }
    if (this.#frozenAt === undefined) {
      this.tell({ kind: "tick" });
    }
    this.#schedule(life);
  }

  #schedule(life: number): void {
    const pause = this.#gateway?.tickInterval ?? 0;
    this.#nextTickAt = this.#world.time.now + pause;
    this.#world.time.after(pause, () => {
      if (this.#world.time.now >= this.#nextTickAt) {
        this.#tick(life);
      }
    });
  }

  /** Something came that can't wait for the tick that is set. */
  #hasten(): void {
    const pause = this.#gateway?.tickInterval ?? 0;
    if (this.#world.time.now + pause < this.#nextTickAt) {
      this.#schedule(this.#life);
    }
  }

  #run(effect: GatewayEffect): void {
    switch (effect.kind) {
      case "datagram":
        return this.#world.links.datagram(this, effect.to, effect.message);
      case "readCatalogue":
        return this.#read(effect);
      case "copyCatalogue":
        return this.#world.links.copy(
          this,
          effect.address,
          (snapshot) => this.tell({ kind: "catalogueCopied", snapshot }),
        );
      case "send":
        return this.#attempts.send(effect.attempt);
      case "abort":
        return this.#attempts.abort(effect.attempt);
      case "knock":
        return this.#knock(effect);
      case "refuse":
        return this.#refuse(effect);
      case "breakOff":
        return this.#finish(effect.request, (to) => to.broken());
      case "complete":
        return this.#finish(effect.request, (to) => to.complete());
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

  #knock(
    { endpoint, life, address }: Extract<GatewayEffect, { kind: "knock" }>,
  ): void {
    this.#world.time.after(CONNECT_MS, () => {
      if (this.#world.links.isClosed(this, address)) {
        this.tell({ kind: "portClosed", endpoint, life });
      }
    });
  }

  #read(effect: Extract<GatewayEffect, { kind: "readCatalogue" }>): void {
    const life = this.#life;
    let open = true;
    const once = (event: GatewayEvent): void => {
      if (open && life === this.#life) {
        open = false;
        this.tell(event);
      }
    };
    if (this.#world.links.reachesStore(this)) {
      this.#world.store.read(this.name, effect, once);
    }
    this.#world.time.after(
      effect.timeout,
      () => once({ kind: "catalogueFailed", detail: "Read timed out" }),
    );
  }

  #refuse(
    { request, refusal }: Extract<GatewayEffect, { kind: "refuse" }>,
  ): void {
    this.#finish(request, (to) => {
      to.head({
        status: refusal.status,
        notRun: refusal.verdict.kind === "not_run",
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

  #finish(id: RequestId, end: (to: Recipient) => void): void {
    const recipient = this.#recipients.get(id);
    this.#recipients.delete(id);
    this.#heads.delete(id);
    if (recipient !== undefined) {
      end(recipient);
    }
  }
}
