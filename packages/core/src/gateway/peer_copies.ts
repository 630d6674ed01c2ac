/**
 * Requests for copies of the catalogue from peers.
 *
 * @module
 */
import { after, type Instant, milliseconds } from "../ids/index.ts";
import type { CatalogueHolder } from "../fleet/index.ts";
import { type CataloguePosition, isLaterPosition } from "../routes/index.ts";
import type { GatewayEmit } from "./messages.ts";

/** Minimum interval between two requests. */
const COPY_INTERVAL_MS = 1_200;
const COPY_TIMEOUT_MS = 1_000;

/** Requests copies, at most one per interval. */
export class PeerCopies {
  readonly #emit: GatewayEmit;
  readonly #newestHolder: () => CatalogueHolder | undefined;
  #nextRequestAt: Instant;

  /** `newestHolder` returns the peer with the newest catalogue. */
  constructor(
    { emit, newestHolder }: {
      emit: GatewayEmit;
      newestHolder: () => CatalogueHolder | undefined;
    },
    now: Instant,
  ) {
    this.#emit = emit;
    this.#newestHolder = newestHolder;
    this.#nextRequestAt = now;
  }

  /**
   * Requests a copy if a peer has a newer catalogue.
   *
   * An entry that cannot read the platform keeps routing by old records: to endpoints that have shut down,
   * by a document that was replaced. Refused connections to endpoints that are long gone are the symptom.
   */
  requestNewer(position: CataloguePosition, now: Instant): void {
    const holder = now < this.#nextRequestAt ? undefined : this.#newestHolder();
    if (holder !== undefined && isLaterPosition(holder.position, position)) {
      this.request(holder.address, now);
    }
  }

  /** Requests a copy from a peer, unless one was requested within the last interval. */
  request(address: string, now: Instant): void {
    if (now >= this.#nextRequestAt) {
      this.#nextRequestAt = after(now, COPY_INTERVAL_MS);
      const timeout = milliseconds(COPY_TIMEOUT_MS);
      this.#emit({ kind: "copyCatalogue", address, timeout });
    }
  }
}
