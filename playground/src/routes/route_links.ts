/**
 * What travels between entries, endpoints and the store, and what does not arrive.
 *
 * @module
 */
import type {
  AnswerHead,
  CallTarget,
  CatalogueSnapshot,
  FleetMessage,
  RequestId,
} from "@sassafrasstep/core";
import { PLATFORM, type Spot } from "../scenario/network.ts";
import type { BackendAnswer } from "./fake_backend.ts";
import type { ToBackend, ToPeer } from "./route_types.ts";
import type { RouteWorld } from "./route_world.ts";
import type { VirtualGateway } from "./virtual_gateway.ts";

/** Prompt tokens that an endpoint reads in a millisecond. */
const PREFILL_RATE = 38;

/** The links of one world. */
export class RouteLinks {
  readonly #world: RouteWorld;

  constructor(world: RouteWorld) {
    this.#world = world;
  }

  /** Brings a datagram to an entry, unless it is lost. */
  datagram(from: VirtualGateway, to: string, message: FleetMessage): void {
    const target = this.#entryAt(to);
    const lost = this.#world.loss > 0 &&
      this.#world.random.next() < this.#world.loss;
    if (target === undefined || lost || !this.#reaches(from, target)) {
      return;
    }
    const copy = structuredClone(message);
    this.#world.time.after(
      this.#world.network.delay(from.spot, target.spot),
      () => {
        if (target.alive) {
          target.tell({ kind: "datagram", message: copy });
        }
      },
    );
  }

  /** Asks an entry for its catalogue, `undefined` where nobody answers. */
  copy(
    from: VirtualGateway,
    address: string,
    done: (snapshot: CatalogueSnapshot | undefined) => void,
  ): void {
    const target = this.#entryAt(address);
    const delay = 2 *
      this.#world.network.delay(from.spot, target?.spot ?? from.spot);
    this.#world.time.after(delay, () => {
      const answers = target !== undefined && !target.frozen &&
        this.#reaches(from, target);
      done(answers ? target.gateway?.snapshot() : undefined);
    });
  }

  /** Whether an entry reaches the platform's store. */
  reachesStore({ spot }: VirtualGateway): boolean {
    return this.#world.network.reaches(spot, PLATFORM);
  }

  /** Whether a connection comes about. */
  connects(
    from: VirtualGateway,
    target: CallTarget,
  ): "yes" | "refused" | "silence" {
    if (target.kind === "peer") {
      const peer = this.#entryAt(target.address);
      return peer === undefined || !this.#reaches(from, peer)
        ? "silence"
        : peer.alive
        ? "yes"
        : "refused";
    }
    const backend = this.#world.backendAt(target.address);
    if (
      backend === undefined || backend.mode === "dark" ||
      !this.#world.network.reaches(from.spot, backend.spot)
    ) {
      return "silence";
    }
    return backend.mode === "refuse" ? "refused" : "yes";
  }

  /** Whether an entry learns that nothing listens at an endpoint's address. */
  isClosed(from: VirtualGateway, address: string): boolean {
    const backend = this.#world.backendAt(address);
    return backend?.mode === "refuse" &&
      this.#world.network.reaches(from.spot, backend.spot);
  }

  /** Hands a request to an endpoint; what is returned takes it back. */
  toBackend(
    from: VirtualGateway,
    { target, head, customer, resumeAfter, recipient }: ToBackend,
  ): () => void {
    const backend = this.#world.backendAt(target.address)!;
    if (backend.id !== target.endpoint) {
      this.#world.time.after(1, () => recipient.head(answerOf(421, true)));
      return () => {};
    }
    const { incarnation } = from.gateway!.self;
    const answer: BackendAnswer = {
      head: (status, notRun) => {
        backend.noteTold(incarnation);
        recipient.head({ ...answerOf(status, notRun), ...backend.stated });
      },
      event: (id) => recipient.event(id),
      complete: () => recipient.complete(),
      lost: () => recipient.broken(),
    };
    backend.senders.push(incarnation);
    backend.take({
      call: head.call,
      from,
      streaming: head.prompt !== undefined,
      events: this.#world.eventsOf(head.call),
      resumeAfter: Number(resumeAfter ?? head.lastEventId ?? 0),
      customer,
      prefill: (head.prompt?.promptTokens ?? 0) / PREFILL_RATE,
      head,
      target,
      answer,
    });
    return () => backend.cancel(answer);
  }

  /** Passes a request on to an entry; what is returned takes it back. */
  toPeer(
    from: VirtualGateway,
    { target, head, customer, resumeAfter, recipient }: ToPeer,
  ): () => void {
    const peer = this.#entryAt(target.address)!;
    const delay = this.#world.network.delay(from.spot, peer.spot);
    let id: RequestId | undefined;
    let cancelled = false;
    const back = (run: () => void): void => {
      this.#world.time.after(delay, () => {
        if (!cancelled && this.#reaches(peer, from)) {
          run();
        }
      });
    };
    this.#world.time.after(delay, () => {
      if (!cancelled && peer.alive) {
        id = peer.arrive({
          ...head,
          lastEventId: resumeAfter ?? head.lastEventId,
          key: undefined,
          relay: {
            from: from.gateway!.self.incarnation,
            sentBefore: target.sentBefore,
            customer,
          },
        }, {
          head: (answer) => back(() => recipient.head(answer)),
          event: (event) => back(() => recipient.event(event)),
          complete: () => back(() => recipient.complete()),
          broken: () => back(() => recipient.broken()),
        });
      }
    });
    return () => {
      cancelled = true;
      this.#world.time.after(delay, () => {
        if (id !== undefined && peer.alive) {
          peer.leave(id);
        }
      });
    };
  }

  #entryAt(address: string): VirtualGateway | undefined {
    return this.#world.entries.get(address.split(":")[0]!);
  }

  #reaches(from: VirtualGateway, to: VirtualGateway): boolean {
    return this.#world.network.reaches(
      this.#spotOf(from),
      this.#spotOf(to),
    );
  }

  #spotOf({ name, spot }: VirtualGateway): Spot {
    return this.#world.cutOff.has(name)
      ? { zone: name, region: spot.region }
      : spot;
  }
}

function answerOf(status: number, notRun: boolean): AnswerHead {
  return {
    status,
    notRun,
    fromEndpoint: !notRun,
    load: undefined,
    retryAfter: undefined,
    limit: undefined,
    leaving: false,
    rest: undefined,
    offered: undefined,
  };
}
