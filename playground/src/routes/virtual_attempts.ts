/**
 * The attempts that one entry sends to endpoints and peers in virtual time, and their answers.
 *
 * @module
 */
import {
  type AnswerHead,
  type AttemptId,
  type CallAttempt,
  type CallHead,
  type GatewayEvent,
  milliseconds,
  type RequestId,
} from "@sassafrasstep/core";
import type { RouteWorld } from "./route_world.ts";
import type { VirtualGateway } from "./virtual_gateway.ts";

/** Virtual time until a port accepts or refuses a connection. */
export const CONNECT_MS = 1;
/** Virtual time until a connection attempt without an answer times out. */
const CONNECT_TIMEOUT_MS = 400;

/** Receives the answer to a request: a caller, or the entry that relayed the request. */
export interface Recipient {
  head(answer: AnswerHead): void;
  /** `version` is the software version of the endpoint that made the event. */
  event(id: number, version: string): void;
  complete(): void;
  /** The answer broke off, or the entry crashed. */
  broken(): void;
}

interface OpenAttempt {
  readonly attempt: CallAttempt;
  cancel: (() => void) | undefined;
}

/** The attempts of one entry. */
export class VirtualAttempts {
  readonly #entry: VirtualGateway;
  readonly #world: RouteWorld;
  readonly #recipients: ReadonlyMap<RequestId, Recipient>;
  readonly #heads: ReadonlyMap<RequestId, CallHead>;
  readonly #open = new Map<AttemptId, OpenAttempt>();

  constructor(
    entry: VirtualGateway,
    { world, recipients, heads }: {
      world: RouteWorld;
      recipients: ReadonlyMap<RequestId, Recipient>;
      heads: ReadonlyMap<RequestId, CallHead>;
    },
  ) {
    this.#entry = entry;
    this.#world = world;
    this.#recipients = recipients;
    this.#heads = heads;
  }

  /** Cancels an attempt. */
  abort(id: AttemptId): void {
    this.#open.get(id)?.cancel?.();
    this.#open.delete(id);
  }

  /** Cancels all attempts when the entry's process ends. */
  abortAll(): void {
    this.#open.forEach(({ cancel }) => cancel?.());
    this.#open.clear();
  }

  /** Connects, and sends the request if the gateway still confirms the attempt. */
  send(attempt: CallAttempt): void {
    const open: OpenAttempt = { attempt, cancel: undefined };
    this.#open.set(attempt.id, open);
    const connection = this.#world.links.connectionResult(
      this.#entry,
      attempt.target,
    );
    const delay = connection === "yes" || connection === "refused"
      ? CONNECT_MS
      : CONNECT_TIMEOUT_MS;
    this.#world.time.after(delay, () => {
      if (!this.#open.has(attempt.id)) {
        return;
      }
      if (connection === "yes") {
        this.#commit(open);
      } else {
        this.#end(attempt.id, {
          kind: "unsent",
          detail: "No connection",
          refused: connection === "refused",
        });
      }
    });
  }

  #commit(open: OpenAttempt): void {
    const { id, request, target, customer, resumeAfter, origin } = open.attempt;
    const effects = this.#entry.handle({ kind: "commit", attempt: id });
    const proceed = effects.find((effect) =>
      effect.kind === "proceed" && effect.attempt === id
    );
    const head = this.#heads.get(request);
    if (proceed?.kind !== "proceed" || head === undefined) {
      this.#open.delete(id);
      return;
    }
    const recipient = this.#recipientOf(id);
    open.cancel = target.kind === "endpoint"
      ? this.#world.links.sendToBackend(this.#entry, {
        target,
        head,
        customer,
        resumeAfter,
        recipient,
      })
      : this.#world.links.sendToPeer(this.#entry, {
        target,
        head: { ...head, timeLeft: milliseconds(proceed.timeLeft) },
        customer,
        resumeAfter,
        origin,
        recipient,
      });
  }

  #recipientOf(id: AttemptId): Recipient {
    const isOpen = (): boolean => this.#open.has(id);
    return {
      head: (answer) => {
        if (!isOpen()) {
          return;
        }
        const { request, streaming: events } = this.#open.get(id)!.attempt;
        const effects = this.#entry.handle({
          kind: "answered",
          attempt: id,
          answer: { ...answer, events, reusedConnection: false },
        });
        const forwarded = effects.find((effect) =>
          effect.kind === "forward" && effect.attempt === id
        );
        const continuesStream = effects.some((effect) =>
          effect.kind === "goOn" && effect.attempt === id
        );
        if (forwarded?.kind === "forward") {
          const { origin, documentVersion } = forwarded;
          this.#recipients.get(request)?.head({
            ...answer,
            origin,
            documentVersion,
          });
        } else if (!continuesStream) {
          this.#open.delete(id);
        }
      },
      event: (event, version) => {
        if (isOpen()) {
          const { request } = this.#open.get(id)!.attempt;
          this.#entry.handle({
            kind: "progress",
            attempt: id,
            lastEventId: String(event),
            unnumbered: false,
            unfinished: 0,
          });
          this.#recipients.get(request)?.event(event, version);
        }
      },
      complete: () => this.#end(id, { kind: "complete" }),
      broken: () => this.#end(id, { kind: "lost", detail: "Answer broke off" }),
    };
  }

  #end(
    id: AttemptId,
    end: Extract<GatewayEvent, { kind: "ended" }>["end"],
  ): void {
    if (this.#open.delete(id)) {
      this.#entry.handle({ kind: "ended", attempt: id, end });
    }
  }
}
