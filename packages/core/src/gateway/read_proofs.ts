/**
 * What reads of the platform prove about the document that is held.
 *
 * @module
 */
import type { Currency, CurrencyMark } from "../customers/index.ts";
import type { DocumentHolder } from "../fleet/index.ts";
import { type Instant, milliseconds, type Revision } from "../ids/index.ts";
import type { HeldCatalogue } from "./held_catalogue.ts";
import type { ReadProof } from "./messages.ts";
import { PublishedDocument } from "./published_document.ts";

/** Within this operators write again what a copy lacks: a key that it still has may have been taken away. */
const REWRITE_MS = 2_200;

type Held = Pick<HeldCatalogue, "document" | "published" | "position">;

/** Dates what is held. */
export class ReadProofs {
  readonly #currency: Currency;
  readonly #documents: PublishedDocument;
  /** When the read under way was sent. */
  #mark: CurrencyMark | undefined;
  /** Whether its answer, if it is one of changes, tells the present state. */
  #verifies = false;
  /** A newer revision of the epoch held that another entry told. */
  #toldRevision: Revision | undefined;

  /** `newestDocument`: the peer with the newest document. */
  constructor(
    { currency, newestDocument }: {
      currency: Currency;
      newestDocument: () => DocumentHolder | undefined;
    },
  ) {
    this.#currency = currency;
    this.#documents = new PublishedDocument(newestDocument);
  }

  /** Another entry told that it holds a newer revision of the same epoch. */
  noteTold(revision: Revision): void {
    this.#toldRevision = revision;
  }

  /** The platform was restored: it may lack what it had acknowledged. */
  noteRestore(now: Instant): void {
    this.#currency.doubt(milliseconds(REWRITE_MS), now);
  }

  /** A read is sent. What is told to be newer was proven by who told it: one call brings what leads there. */
  ask(
    { document, position }: Held,
    { keyed, now }: { keyed: boolean; now: Instant },
  ): ReadProof {
    const told = this.#toldRevision;
    const reaches = told !== undefined && told > position.revision;
    this.#toldRevision = undefined;
    this.#mark = this.#currency.mark(now);
    this.#documents.ask(document?.version ?? 0 as Revision);
    this.#verifies = keyed && !reaches;
    if (!keyed) {
      return { kind: "none" };
    }
    return reaches ? { kind: "reaches", revision: told } : { kind: "newest" };
  }

  /**
   * What was just read was the present state when its read was sent: so what is held is current, unless the
   * platform lacks a document that it had acknowledged. Returns the peer that holds that one.
   */
  judge(
    { document, published }: Held,
    { whole, now }: { whole: boolean; now: Instant },
  ): DocumentHolder | undefined {
    const version = document?.version ?? 0 as Revision;
    if (this.#documents.isLacking(published, now)) {
      return this.#documents.newerThan(version);
    }
    if (
      (whole || this.#verifies) && this.#mark !== undefined &&
      document !== undefined
    ) {
      this.#currency.prove({ version, at: this.#mark });
    }
    return undefined;
  }
}
