/**
 * Endpoints that announce in their answers that they are shutting down.
 *
 * An announcement is valid until the endpoint starts again, whatever its stored record says: the store may be
 * updated much later or be unreachable. Entries pass announcements on to each other. Otherwise each entry would
 * learn of a shutdown only from the answer to a request that the endpoint should not have received.
 *
 * @module
 */
import type {
  EndpointId,
  EndpointLife,
  Incarnation,
  Instant,
} from "../ids/index.ts";
import { type EndpointRecord, isSameLife } from "../routes/index.ts";
import type { AnswerSummary, EndpointLog } from "./stated_value.ts";
import { PeerAnnouncements } from "./peer_announcements.ts";

/** Maximum number of remembered endpoints. Each start of an endpoint may use a new id. */
const MAX_ENDPOINTS = 4_096;
const MAX_DEPARTURES_PER_DATAGRAM = 40;

/** An endpoint that is shutting down, and the life (process start) in which it does. */
export interface Departure {
  readonly endpoint: EndpointId;
  readonly life: EndpointLife | undefined;
}

/** A datagram about endpoints that are shutting down. */
export interface DepartureMessage {
  readonly incarnation: Incarnation;
  readonly departures: readonly Departure[];
}

/** Dependencies of the departures. */
export interface DepartureSources {
  readonly incarnation: Incarnation;
  /** Returns the entry that announces an endpoint's departure to the region. */
  readonly announcerOf: (endpoint: EndpointId) => Incarnation;
  /** Other live entries of the region. */
  readonly peers: () => readonly Incarnation[];
  /** Whether an endpoint is published. */
  readonly isPublished: (endpoint: EndpointId) => boolean;
  readonly send: (to: Incarnation, message: DepartureMessage) => void;
  readonly log: EndpointLog;
}

/** The known endpoints that are shutting down. */
export class EndpointDepartures {
  readonly #sources: DepartureSources;
  readonly #departures = new Map<EndpointId, Departure>();
  readonly #announcements = new PeerAnnouncements();

  constructor(sources: DepartureSources) {
    this.#sources = sources;
  }

  /** Number of published endpoints that are shutting down. */
  get size(): number {
    return this.#published().length;
  }

  /** Whether an endpoint is shutting down in its given life. */
  has({ id, life }: Pick<EndpointRecord, "id" | "life">): boolean {
    const known = this.#departures.get(id);
    return known !== undefined && isSameLife(known, { life });
  }

  /** Handles an answer that announces its endpoint's shutdown. */
  handleAnswer(
    { id: endpoint, life, service, state }: EndpointRecord,
    answer: AnswerSummary,
  ): void {
    const departure = { endpoint, life };
    if (this.#add(departure)) {
      const { peers, log } = this.#sources;
      log("Endpoint leaves.", { endpoint, service, record: state, ...answer });
      peers().forEach((peer) => this.#send(peer, [departure]));
    }
  }

  /** Handles a message from another entry. */
  receive({ incarnation, departures }: DepartureMessage): void {
    for (const departure of departures) {
      if (this.#add(departure)) {
        const { endpoint } = departure;
        const fields = { endpoint, toldBy: incarnation };
        this.#sources.log("Endpoint leaves.", fields);
      }
    }
  }

  /** Announces departures to entries that may not know of them. */
  tick(now: Instant): void {
    if (this.#departures.size === 0) {
      return;
    }
    const { incarnation, announcerOf, peers } = this.#sources;
    const due = this.#announcements.takeDue(peers(), now);
    const known = due.length === 0
      ? []
      : this.#published().map((departure) => ({
        departure,
        announcer: announcerOf(departure.endpoint),
      }));
    for (const peer of due) {
      // The announcer itself is sent its departures too: it may have just started and not know of them.
      const relevant = known.filter(({ announcer }) =>
        announcer === incarnation || announcer === peer
      );
      this.#send(peer, relevant.map(({ departure }) => departure));
    }
  }

  #send(peer: Incarnation, departures: readonly Departure[]): void {
    const { incarnation, send } = this.#sources;
    for (
      let first = 0;
      first < departures.length;
      first += MAX_DEPARTURES_PER_DATAGRAM
    ) {
      const part = departures.slice(first, first + MAX_DEPARTURES_PER_DATAGRAM);
      send(peer, { incarnation, departures: part });
    }
  }

  #published(): Departure[] {
    return [...this.#departures.values()].filter(({ endpoint }) =>
      this.#sources.isPublished(endpoint)
    );
  }

  /** Records a departure. Returns whether it was not known before. */
  #add(departure: Departure): boolean {
    const { endpoint: id, life } = departure;
    const known = this.#departures.get(id);
    if (known !== undefined && (life ?? -1) <= (known.life ?? -1)) {
      return false;
    }
    this.#departures.delete(id);
    this.#departures.set(id, departure);
    this.#announcements.reset();
    if (this.#departures.size > MAX_ENDPOINTS) {
      const [oldest] = this.#departures.keys();
      this.#departures.delete(oldest!);
    }
    return true;
  }
}
