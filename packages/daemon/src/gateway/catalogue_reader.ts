/**
 * Reads the catalogue from the platform and copies it from peers.
 *
 * @module
 */
import {
  type CatalogueSnapshot,
  type GatewayEffect,
  type GatewayEvent,
  type Milliseconds,
  milliseconds,
  type RequiredProof,
  type Revision,
} from "@sassafrasstep/core";
import { withIdleTimeout } from "../timers/index.ts";
import { copyCatalogue } from "./snapshot_message.ts";
import type { CatalogueSource } from "./protocol.ts";

type EffectOf<Kind extends GatewayEffect["kind"]> = Extract<
  GatewayEffect,
  { kind: Kind }
>;

/** Carries out the reads that the gateway requests and reports the result of each as one event. */
export class CatalogueReader {
  readonly #source: CatalogueSource;
  readonly #dispatch: (event: GatewayEvent) => void;

  constructor(
    { source, dispatch }: {
      source: CatalogueSource;
      dispatch: (event: GatewayEvent) => void;
    },
  ) {
    this.#source = source;
    this.#dispatch = dispatch;
  }

  /** Reads the catalogue or its changes from the platform. */
  read(effect: EffectOf<"readCatalogue">): void {
    this.#read(effect).then(
      this.#dispatch,
      (error: Error) =>
        this.#dispatch({ kind: "catalogueFailed", detail: error.message }),
    );
  }

  /** Asks the platform for its newest position. */
  askNewest({ timeout }: EffectOf<"askNewest">): void {
    this.#source.newest(timeout).then(
      (newest) => this.#dispatch({ kind: "catalogueNewest", newest }),
      () => this.#dispatch({ kind: "catalogueNewest", newest: undefined }),
    );
  }

  /** Copies the catalogue from a peer. */
  copy(effect: EffectOf<"copyCatalogue">): void {
    this.#copy(effect).then(
      (snapshot) => this.#dispatch({ kind: "catalogueCopied", snapshot }),
      () => this.#dispatch({ kind: "catalogueCopied", snapshot: undefined }),
    );
  }

  #copy(
    { address, timeout }: EffectOf<"copyCatalogue">,
  ): Promise<CatalogueSnapshot | undefined> {
    return withIdleTimeout(
      timeout,
      (signal, onData) => copyCatalogue(address, { signal, onData }),
    );
  }

  async #read(
    { after, wait, timeout, proof }: EffectOf<"readCatalogue">,
  ): Promise<GatewayEvent> {
    if (after === undefined) {
      const snapshot = await this.#source.snapshot(timeout);
      return { kind: "catalogueRead", snapshot };
    }
    if (proof.kind !== "none") {
      return await this.#readVerified(after, { timeout, proof });
    }
    const answer = await this.#source.changes(after, { wait, timeout });
    return answer.kind === "compacted"
      ? { kind: "catalogueCompacted", epoch: answer.epoch }
      : { kind: "catalogueChanged", changes: answer.changes };
  }

  /**
   * Reads the changes up to the newest revision without a gap. The platform may compact its history and still
   * report no changes to a waiting read. The newest revision is therefore requested, unless a peer reported
   * it, and changes are accepted only if they lead to it one by one.
   */
  async #readVerified(
    after: Revision,
    { timeout, proof }: {
      timeout: Milliseconds;
      proof: Exclude<RequiredProof, { kind: "none" }>;
    },
  ): Promise<GatewayEvent> {
    const { epoch, revision: newest } = proof.kind === "reaches"
      ? { epoch: undefined, revision: proof.revision }
      : await this.#source.newest(timeout);
    if (newest === after) {
      return { kind: "catalogueConfirmed", epoch };
    }
    const wait = milliseconds(0);
    const answer = await this.#source.changes(after, { wait, timeout });
    const reachesNewest = answer.kind === "changes" && answer.complete &&
      answer.changes.revision >= newest;
    if (reachesNewest) {
      return { kind: "catalogueChanged", changes: answer.changes };
    }
    const reported = answer.kind === "changes" ? answer.changes : answer;
    return { kind: "catalogueCompacted", epoch: reported.epoch };
  }
}
