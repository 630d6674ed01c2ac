/**
 * What other entries hold, as they last said.
 *
 * @module
 */
import type { Incarnation, Revision } from "../ids/index.ts";
import {
  type CataloguePosition,
  isAfter,
  NO_POSITION,
} from "../routes/index.ts";
import type { Holdings } from "./fleet_messages.ts";
import type { FleetMember } from "./membership_list.ts";

/** An entry that has a catalogue. */
export interface CatalogueHolder {
  readonly address: string;
  readonly position: CataloguePosition;
}

/** An entry that has a document of the operators. */
export interface DocumentHolder {
  readonly address: string;
  readonly version: Revision;
}

/** Holdings by entry. */
export class PeerHoldings {
  readonly #holdings = new Map<Incarnation, Holdings>();

  note(entry: Incarnation, holdings: Holdings): void {
    this.#holdings.set(entry, holdings);
  }

  forget(entry: Incarnation): void {
    this.#holdings.delete(entry);
  }

  /** Which of some members has the newest catalogue. */
  newest(members: readonly FleetMember[]): CatalogueHolder | undefined {
    let best: CatalogueHolder | undefined;
    for (const { record: { incarnation, peerAddress } } of members) {
      const position = this.#holdings.get(incarnation)?.catalogue;
      if (
        position !== undefined &&
        isAfter(position, best?.position ?? NO_POSITION)
      ) {
        best = { address: peerAddress, position };
      }
    }
    return best;
  }

  /** Which of some members has the newest document. */
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
