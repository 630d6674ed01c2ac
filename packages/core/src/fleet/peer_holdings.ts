/**
 * Versions of the shared data that other entries last reported to hold.
 *
 * @module
 */
import type { Incarnation, Revision } from "../ids/index.ts";
import {
  type CataloguePosition,
  isLaterPosition,
  NO_POSITION,
} from "../routes/index.ts";
import type { HeldVersions } from "./fleet_messages.ts";
import type { FleetMember } from "./membership_list.ts";

/** Address of an entry, and the position of the catalogue that it holds. */
export interface CatalogueHolder {
  readonly address: string;
  readonly position: CataloguePosition;
}

/** Address of an entry, and the version of the routing document that it holds. */
export interface DocumentHolder {
  readonly address: string;
  readonly version: Revision;
}

/** Held versions by the entries' incarnations. */
export class PeerHoldings {
  readonly #holdings = new Map<Incarnation, HeldVersions>();

  set(entry: Incarnation, holdings: HeldVersions): void {
    this.#holdings.set(entry, holdings);
  }

  delete(entry: Incarnation): void {
    this.#holdings.delete(entry);
  }

  /** Returns the given member with the newest catalogue. */
  newestCatalogue(
    members: readonly FleetMember[],
  ): CatalogueHolder | undefined {
    let best: CatalogueHolder | undefined;
    for (const { record: { incarnation, peerAddress } } of members) {
      const position = this.#holdings.get(incarnation)?.catalogue;
      if (
        position !== undefined &&
        isLaterPosition(position, best?.position ?? NO_POSITION)
      ) {
        best = { address: peerAddress, position };
      }
    }
    return best;
  }

  /** Returns the given member with the newest routing document. */
  newestDocument(members: readonly FleetMember[]): DocumentHolder | undefined {
    let best: DocumentHolder | undefined;
    for (const { record: { incarnation, peerAddress } } of members) {
      const version = this.#holdings.get(incarnation)?.document;
      if (version !== undefined && version > (best?.version ?? 0)) {
        best = { address: peerAddress, version };
      }
    }
    return best;
  }
}
