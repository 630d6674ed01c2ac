/**
 * Reads of the published picture, from the platform and from peers.
 *
 * @module
 */
import type { GatewayEffect, GatewayEvent } from "@sassafrasstep/core";
import { createGatewayClient, decodeSnapshot } from "./gateway_router.ts";
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
  copy({ address, timeout }: EffectOf<"copyCatalogue">): void {
    const client = createGatewayClient(`http://${address}`);
    client.catalogue.query(undefined, { signal: AbortSignal.timeout(timeout) })
      .then(
        (message) =>
          this.#tell({
            kind: "catalogueCopied",
            snapshot: message === null
              ? undefined
              : decodeSnapshot(message as unknown as SnapshotMessage),
          }),
        () => this.#tell({ kind: "catalogueCopied", snapshot: undefined }),
      );
  }

  async #read(
    { after, wait, timeout }: EffectOf<"readCatalogue">,
  ): Promise<GatewayEvent> {
    if (after === undefined) {
      const snapshot = await this.#source.snapshot(timeout);
      return { kind: "catalogueRead", snapshot };
    }
    const answer = await this.#source.changes(after, { wait, timeout });
    return answer.kind === "compacted"
      ? { kind: "catalogueCompacted" }
      : { kind: "catalogueChanged", changes: answer.changes };
  }
}
