/**
 * Copies of the picture from peers.
 *
 * @module
 */
import { after, type Instant, milliseconds } from "../ids/index.ts";
import type { CatalogueHolder } from "../fleet/index.ts";
import { type CataloguePosition, isAfter } from "../routes/index.ts";
import type { GatewayEmit } from "./messages.ts";

/** Between two copies. */
const COPY_PAUSE_MS = 1_200;
const COPY_TIMEOUT_MS = 1_000;

/** Asks for copies, one at a time. */
export class PeerCopies {
  readonly #emit: GatewayEmit;
  readonly #newestHolder: () => CatalogueHolder | undefined;
  #nextAt: Instant;

  /** `newestHolder`: the peer with the newest picture. */
  constructor(
    { emit, newestHolder }: {
      emit: GatewayEmit;
      newestHolder: () => CatalogueHolder | undefined;
    },
    now: Instant,
  ) {
    this.#emit = emit;
    this.#newestHolder = newestHolder;
    this.#nextAt = now;
  }

  /**
   * An entry that cannot read the platform serves on from old records: to endpoints that have left, by a
   * document that was replaced. One notices by refusals of endpoints long gone. A peer with a newer picture
   * passes it on.
   */
  askForNewer(held: CataloguePosition, now: Instant): void {
    const holder = now < this.#nextAt ? undefined : this.#newestHolder();
    if (holder !== undefined && isAfter(holder.position, held)) {
      this.ask(holder.address, now);
    }
  }

  /** Asks a peer, unless another copy was asked for lately. */
  ask(address: string, now: Instant): void {
    if (now >= this.#nextAt) {
      this.#nextAt = after(now, COPY_PAUSE_MS);
      const timeout = milliseconds(COPY_TIMEOUT_MS);
      this.#emit({ kind: "copyCatalogue", address, timeout });
    }
  }
}
