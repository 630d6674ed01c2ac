/**
 * Reads of the published picture, from the platform and from peers.
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
import { whileHearing } from "../timers/index.ts";
import type { SnapshotMessage } from "./gateway_router.ts";
import type { CatalogueSource } from "./protocol.ts";

type EffectOf<Kind extends GatewayEffect["kind"]> = Extract<
  GatewayEffect,
  { kind: Kind }
>;

/** Runs the reads that the gateway asks for; each ends in one event. */
export class CatalogueRunner {
  readonly #source: CatalogueSource;
  readonly #tell: (event: GatewayEvent) => void;

  constructor(
    { source, tell }: {
      source: CatalogueSource;
      tell: (event: GatewayEvent) => void;
    },
  ) {
    this.#source = source;
    this.#tell = tell;
  }

  /** Reads from the platform. */
  read(effect: EffectOf<"readCatalogue">): void {
    this.#read(effect).then(
      this.#tell,
      (error: Error) =>
        this.#tell({ kind: "catalogueFailed", detail: error.message }),
    );
  }

  /** Reads from a peer. */
  copy(effect: EffectOf<"copyCatalogue">): void {
    this.#copy(effect).then(
      (snapshot) => this.#tell({ kind: "catalogueCopied", snapshot }),
      () => this.#tell({ kind: "catalogueCopied", snapshot: undefined }),
    );
  }

  /** The client's library is loaded at its first use, see `control_app.ts`. */
  async #copy(
    { address, timeout }: EffectOf<"copyCatalogue">,
  ): Promise<CatalogueSnapshot | undefined> {
    const { createGatewayClient, decodeSnapshot } = await import(
      "./gateway_router.ts"
    );
    const message = await whileHearing(
      timeout,
      (signal, heard) =>
        createGatewayClient(`http://${address}`, heard)
          .catalogue.query(undefined, { signal }),
    );
    return message === null
      ? undefined
      : decodeSnapshot(message as unknown as SnapshotMessage);
  }

  async #read(
    { after, wait, timeout, proof }: EffectOf<"readCatalogue">,
  ): Promise<GatewayEvent> {
    if (after === undefined) {
      const snapshot = await this.#source.snapshot(timeout);
      return { kind: "catalogueRead", snapshot };
    }
    if (proof.kind !== "none") {
      return await this.#verify(after, { timeout, proof });
    }
    const answer = await this.#source.changes(after, { wait, timeout });
    return answer.kind === "compacted"
      ? { kind: "catalogueCompacted", epoch: answer.epoch }
      : { kind: "catalogueChanged", changes: answer.changes };
  }

  /**
   * Reads up to the present state. History may be dropped while a wait for changes says that there were
   * none; so the newest revision is asked for, where no other entry told it, and changes count only where
   * they lead there one by one.
   */
  async #verify(
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
    const whole = answer.kind === "changes" && answer.complete &&
      answer.changes.revision >= newest;
    if (whole) {
      return { kind: "catalogueChanged", changes: answer.changes };
    }
    const stated = answer.kind === "changes" ? answer.changes : answer;
    return { kind: "catalogueCompacted", epoch: stated.epoch };
  }
}
