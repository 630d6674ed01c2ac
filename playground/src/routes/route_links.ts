/**
 * The connections between entries, endpoints and the store, with delays, partitions and lost datagrams.
 *
 * @module
 */
import {
  type AnswerHead,
  type CallTarget,
  type CatalogueSnapshot,
  type FleetMessage,
  type GatewayEffect,
  type Milliseconds,
  milliseconds,
  type RequestId,
} from "@sassafrasstep/core";
import { PLATFORM, type Spot } from "../scenario/network.ts";
import { copyMessage } from "./copy_message.ts";
import type { BackendAnswer } from "./fake_backend.ts";
import type { BackendAttempt, PeerAttempt } from "./route_types.ts";
import type { RouteWorld } from "./route_world.ts";
import type { VirtualGateway } from "./virtual_gateway.ts";

/** Kinds of messages that a build drops that knows nothing of streams' versions. */
const UNKNOWN_TO_OLD: ReadonlySet<FleetMessage["kind"]> = new Set<
  FleetMessage["kind"]
>(["origins", "census", "retries", "cold"]);
/** Prompt tokens that an endpoint prefills per millisecond. */
const PREFILL_TOKENS_PER_MS = 38;

/** The connections of one world. */
export class RouteLinks {
  /** Requests that entries have sent on to other entries. */
  relays = 0;
  readonly #world: RouteWorld;

  constructor(world: RouteWorld) {
    this.#world = world;
  }

  /** Delivers a datagram to an entry, unless it is lost. */
  sendDatagram(from: VirtualGateway, to: string, message: FleetMessage): void {
    const target = this.#entryAt(to);
    const lost = this.#world.datagramLossRate > 0 &&
      this.#world.random.next() < this.#world.datagramLossRate;
    const isUnknown = UNKNOWN_TO_OLD.has(message.kind) &&
      target !== undefined && (this.#isOld(from) || this.#isOld(target));
    if (
      target === undefined || lost || isUnknown || !this.#reaches(from, target)
    ) {
      return;
    }
    const copy = copyMessage(message);
    this.#world.time.after(
      this.#world.network.delay(from.spot, target.spot),
      () => {
        if (target.alive) {
          target.handle({ kind: "datagram", message: copy });
        }
      },
    );
  }

  /** Asks an entry for its catalogue; `done` gets `undefined` if there is no answer. */
  fetchCatalogue(
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

  /** Tells whether an entry can reach the platform's store. */
  reachesStore({ spot }: VirtualGateway): boolean {
    return this.#world.network.reaches(spot, PLATFORM);
  }

  /** Returns the result of a connection attempt: established, refused, or no answer. */
  connectionResult(
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

  /** Returns how long an endpoint says that it stays cold, `undefined` if its answer does not reach an entry. */
  coldTimeOf(
    from: VirtualGateway,
    { endpoint, address }: Extract<GatewayEffect, { kind: "checkHealth" }>,
  ): Milliseconds | undefined {
    const backend = this.#world.backendAt(address);
    const answers = backend?.id === endpoint && backend.mode !== "dark" &&
      this.#world.network.reaches(from.spot, backend.spot);
    return answers ? milliseconds(backend.remainingCold) : undefined;
  }

  /** Tells whether an entry's connection attempt shows that no process listens at an address. */
  isPortClosed(from: VirtualGateway, address: string): boolean {
    const backend = this.#world.backendAt(address);
    return backend?.mode === "refuse" &&
      this.#world.network.reaches(from.spot, backend.spot);
  }

  /** Sends a request to an endpoint and returns a function that cancels it. */
  sendToBackend(
    from: VirtualGateway,
    { target, head, customer, resumeAfter, recipient }: BackendAttempt,
  ): () => void {
    const backend = this.#world.backendAt(target.address)!;
    this.#world.arrivals.push({
      call: head.call,
      service: backend.service,
      entry: from.name,
      at: this.#world.time.now,
    });
    if (backend.id !== target.endpoint) {
      this.#world.time.after(1, () => recipient.head(answerHead(421, true)));
      return () => {};
    }
    const { incarnation } = from.gateway!.self;
    const answer: BackendAnswer = {
      head: (status, notRun) => {
        backend.recordAnswer(incarnation);
        recipient.head({
          ...answerHead(status, notRun),
          ...backend.answerFields,
        });
      },
      event: (id) => recipient.event(id, backend.version),
      complete: () => recipient.complete(),
      lost: () => recipient.broken(),
    };
    backend.senders.push(incarnation);
    backend.take({
      call: head.call,
      from,
      streaming: head.prompt !== undefined,
      events: this.#world.eventCountOf(head.call),
      resumeAfter: Number(resumeAfter ?? head.lastEventId ?? 0),
      customer,
      prefill: (head.prompt?.promptTokens ?? 0) / PREFILL_TOKENS_PER_MS,
      head,
      target,
      answer,
    });
    return () => backend.cancel(answer);
  }

  /** Relays a request to a peer and returns a function that cancels it. */
  sendToPeer(
    from: VirtualGateway,
    { target, head, customer, resumeAfter, origin, recipient }: PeerAttempt,
  ): () => void {
    const peer = this.#entryAt(target.address)!;
    this.relays++;
    const delay = this.#world.network.delay(from.spot, peer.spot);
    let id: RequestId | undefined;
    let cancelled = false;
    const sendBack = (run: () => void): void => {
      this.#world.time.after(delay, () => {
        if (!cancelled && this.#reaches(peer, from)) {
          run();
        }
      });
    };
    this.#world.time.after(delay, () => {
      if (!cancelled && !peer.alive) {
        return sendBack(() => recipient.broken());
      }
      if (!cancelled && origin !== undefined && this.#isOld(peer)) {
        // The header of a relayed resumption is not the one that such a build requires.
        return sendBack(() => recipient.head(answerHead(400, false, false)));
      }
      if (!cancelled) {
        id = peer.arrive({
          ...head,
          lastEventId: resumeAfter ?? head.lastEventId,
          key: undefined,
          relay: {
            from: from.gateway!.self.incarnation,
            sentBefore: target.sentBefore,
            customer,
            origin: this.#isOld(from) ? undefined : origin,
            documentVersion: this.#isOld(from) || this.#isOld(peer)
              ? undefined
              : target.documentVersion,
          },
        }, {
          head: (answer) =>
            sendBack(() =>
              recipient.head(
                this.#isOld(peer)
                  ? { ...answer, origin: undefined, documentVersion: undefined }
                  : answer,
              )
            ),
          event: (event, version) =>
            sendBack(() => recipient.event(event, version)),
          complete: () => sendBack(() => recipient.complete()),
          broken: () => sendBack(() => recipient.broken()),
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

  #isOld({ name }: VirtualGateway): boolean {
    return this.#world.oldEntries.has(name);
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
    return this.#world.isolatedEntries.has(name)
      ? { zone: name, region: spot.region }
      : spot;
  }
}

function answerHead(
  status: number,
  notRun: boolean,
  fromEndpoint = !notRun,
): AnswerHead {
  return {
    status,
    notRun,
    namesRequest: true,
    fromEndpoint,
    load: undefined,
    retryAfter: undefined,
    limit: undefined,
    leaving: false,
    rest: undefined,
    offered: undefined,
  };
}
