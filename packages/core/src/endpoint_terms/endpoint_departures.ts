/**
 * Endpoints that say in their answers that they leave.
 *
 * The word of the endpoint holds for the rest of its life, whatever its record says: the store may have
 * the news much later, or be out of reach. Entries tell each other, so that each need not be told by a
 * request that the endpoint had better not get.
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
import type { StatingAnswer, TermsLog } from "./stated.ts";
import { ToldPeers } from "./told_peers.ts";

/** Endpoints that are remembered; each start of one may have an id of its own. */
const MOST_ENDPOINTS = 4_096;
/** Departures in one datagram. */
const MOST_DEPARTURES = 40;

/** A life of an endpoint that leaves. */
export interface Departure {
  readonly endpoint: EndpointId;
  readonly life: EndpointLife | undefined;
}

/** One datagram about endpoints that leave. */
export interface DepartureMessage {
  readonly incarnation: Incarnation;
  readonly departures: readonly Departure[];
}

/** What departures are known by, and told to. */
export interface DepartureSources {
  readonly incarnation: Incarnation;
  /** The entry of the region that tells others of an endpoint. */
  readonly announcerOf: (endpoint: EndpointId) => Incarnation;
  /** Other live entries of the region. */
  readonly peers: () => readonly Incarnation[];
  /** Whether an endpoint is published. */
  readonly isPublished: (endpoint: EndpointId) => boolean;
  readonly send: (to: Incarnation, message: DepartureMessage) => void;
  readonly log: TermsLog;
}

/** What is known of endpoints that leave. */
export class EndpointDepartures {
  readonly #sources: DepartureSources;
  readonly #departures = new Map<EndpointId, Departure>();
  readonly #told = new ToldPeers();

  constructor(sources: DepartureSources) {
    this.#sources = sources;
  }

  /** Published endpoints that leave. */
  get size(): number {
    return this.#published().length;
  }

  /** Whether this life of an endpoint leaves. */
  has({ id, life }: Pick<EndpointRecord, "id" | "life">): boolean {
    const known = this.#departures.get(id);
    return known !== undefined && isSameLife(known, { life });
  }

  /** An answer says that its endpoint leaves. */
  hear(
    { id: endpoint, life, service, state }: EndpointRecord,
    answer: StatingAnswer,
  ): void {
    const departure = { endpoint, life };
    if (this.#learn(departure)) {
      const { peers, log } = this.#sources;
      log("Endpoint leaves.", { endpoint, service, record: state, ...answer });
      peers().forEach((peer) => this.#tell(peer, [departure]));
    }
  }

  /** Takes what another entry tells. */
  receive({ incarnation, departures }: DepartureMessage): void {
    for (const departure of departures) {
      if (this.#learn(departure)) {
        const { endpoint } = departure;
        const fields = { endpoint, toldBy: incarnation };
        this.#sources.log("Endpoint leaves.", fields);
      }
    }
  }

  /** Tells entries that may not know. */
  tick(now: Instant): void {
    if (this.#departures.size === 0) {
      return;
    }
    const { incarnation, announcerOf, peers } = this.#sources;
    const due = this.#told.takeDue(peers(), now);
    const known = due.length === 0
      ? []
      : this.#published().map((departure) => ({
        departure,
        announcer: announcerOf(departure.endpoint),
      }));
    for (const peer of due) {
      // An announcer that has just started knows nothing of what it is to tell.
      const told = known.filter(({ announcer }) =>
        announcer === incarnation || announcer === peer
      );
      this.#tell(peer, told.map(({ departure }) => departure));
    }
  }

  #tell(peer: Incarnation, departures: readonly Departure[]): void {
    const { incarnation, send } = this.#sources;
    for (let first = 0; first < departures.length; first += MOST_DEPARTURES) {
      const part = departures.slice(first, first + MOST_DEPARTURES);
      send(peer, { incarnation, departures: part });
    }
  }

  #published(): Departure[] {
    return [...this.#departures.values()].filter(({ endpoint }) =>
      this.#sources.isPublished(endpoint)
    );
  }

  /** Returns whether it is news. */
  #learn(departure: Departure): boolean {
    const { endpoint: id, life } = departure;
    const known = this.#departures.get(id);
    if (known !== undefined && (life ?? -1) <= (known.life ?? -1)) {
      return false;
    }
    this.#departures.delete(id);
    this.#departures.set(id, departure);
    this.#told.reset();
    if (this.#departures.size > MOST_ENDPOINTS) {
      const [oldest] = this.#departures.keys();
      this.#departures.delete(oldest!);
    }
    return true;
  }
}
