/**
 * Runs effects that call the platform, peers and endpoints outside callers' requests.
 *
 * @module
 */
import type { CoreEvent, Effect, RegionId } from "@sassafrasstep/core";
import type { Logger } from "../logs/index.ts";
import type { EndpointClient } from "../outbound/index.ts";
import {
  copyConfiguration,
  type PeerClients,
  sendHeartbeat,
} from "../peers/index.ts";
import type { PlatformClient } from "../platform/index.ts";
import { encodeQuarantineNews } from "../quarantine/index.ts";

/** Dependencies of an `EffectRunner`. */
export interface EffectRunnerOptions {
  readonly region: RegionId;
  readonly peers: PeerClients;
  readonly platform: PlatformClient;
  readonly endpoints: EndpointClient;
  readonly logger: Logger;
  readonly emit: (event: CoreEvent) => void;
}

type EffectOf<Kind extends Effect["kind"]> = Extract<Effect, { kind: Kind }>;

/** Runs effects. Failures are reported to the core as events, or only logged where the core ignores them. */
export class EffectRunner {
  readonly #options: EffectRunnerOptions;

  constructor(tools: EffectRunnerOptions) {
    this.#options = tools;
  }

  run(effect: Effect): void {
    switch (effect.kind) {
      case "log":
        this.#options.logger.info(effect.part, effect.text, effect.fields);
        return;
      case "sendHeartbeat":
        void this.#sendHeartbeat(effect);
        return;
      case "copyConfiguration":
        void this.#copyConfiguration(effect);
        return;
      case "readConfiguration":
        void this.#readConfiguration(effect);
        return;
      case "listVms":
        void this.#listVms();
        return;
      case "sendOutcome":
        void this.#sendOutcome(effect);
        return;
      case "sendHandOver":
        void this.#sendHandOver(effect);
        return;
      case "sendQuarantine":
        void this.#sendQuarantine(effect);
        return;
      case "pollLoad":
        void this.#pollLoad(effect);
        return;
      case "order":
        void this.#order(effect);
    }
  }

  async #sendHeartbeat(
    { url, heartbeat }: EffectOf<"sendHeartbeat">,
  ): Promise<void> {
    const { peers, emit } = this.#options;
    try {
      const reply = await sendHeartbeat(peers.at(url), heartbeat);
      emit({ kind: "heartbeatReply", reply });
    } catch (error) {
      this.#logDebug("peer", "Heartbeat was not answered.", { url, error });
      if (isConnectionRefused(error)) {
        emit({ kind: "peerRefused", url });
      }
    }
  }

  async #copyConfiguration(
    { from, url, have }: EffectOf<"copyConfiguration">,
  ): Promise<void> {
    const { peers, emit } = this.#options;
    try {
      const copy = await copyConfiguration(peers.at(url), have);
      emit({
        kind: "configurationCopied",
        from,
        copy,
        answered: true,
      });
    } catch (error) {
      this.#logDebug("peer", "Configuration was not copied.", { url, error });
      emit({
        kind: "configurationCopied",
        from,
        copy: undefined,
        answered: false,
      });
    }
  }

  async #readConfiguration(
    { after, wait }: EffectOf<"readConfiguration">,
  ): Promise<void> {
    const { platform, emit } = this.#options;
    try {
      const published = await platform.readConfiguration(after, { wait });
      emit(
        published === undefined
          ? { kind: "configurationUnchanged" }
          : { kind: "configurationRead", ...published },
      );
    } catch (error) {
      this.#logDebug("platform", "Configuration was not read.", { error });
      emit({ kind: "configurationFailed" });
    }
  }

  async #listVms(): Promise<void> {
    const { platform, emit } = this.#options;
    try {
      const vms = await platform.listVms(this.#options.region);
      emit(
        vms === undefined
          ? { kind: "vmsUnchanged" }
          : { kind: "vmsListed", vms },
      );
    } catch (error) {
      this.#logDebug("platform", "VM list was not read.", { error });
      emit({ kind: "vmListFailed" });
    }
  }

  async #sendOutcome({ url, copy }: EffectOf<"sendOutcome">): Promise<void> {
    try {
      await this.#options.peers.at(url).outcome.mutate(copy);
    } catch (error) {
      this.#logDebug("peer", "Outcome was not copied.", { url, error });
    }
  }

  async #sendHandOver(
    { url, handOver }: EffectOf<"sendHandOver">,
  ): Promise<void> {
    const { peers, logger, emit } = this.#options;
    try {
      const accepted = await peers.at(url).handOver.mutate(handOver);
      logger.info("action", "Handed keys over.", {
        url,
        accepted,
        used: handOver.used.length,
      });
    } catch (error) {
      logger.warn("action", "Hand-over was not answered.", {
        url,
        error: (error as Error).message,
      });
    }
    emit({ kind: "handOverDone" });
  }

  async #sendQuarantine(
    { url, news }: EffectOf<"sendQuarantine">,
  ): Promise<void> {
    try {
      const message = JSON.stringify(encodeQuarantineNews(news));
      await this.#options.peers.at(url).quarantine.mutate(message);
    } catch (error) {
      this.#logDebug("peer", "Quarantine news was not sent.", {
        url,
        error,
      });
    }
  }

  async #pollLoad({ endpoint, url }: EffectOf<"pollLoad">): Promise<void> {
    const { endpoints, emit } = this.#options;
    try {
      emit({ kind: "load", endpoint, report: await endpoints.pollLoad(url) });
    } catch {
      emit({ kind: "loadFailed", endpoint });
    }
  }

  async #order({ order }: EffectOf<"order">): Promise<void> {
    const { endpoints, emit } = this.#options;
    let accepted = false;
    try {
      accepted = await endpoints.sendOrder(order);
    } catch (error) {
      this.#logDebug("order", "Order was not answered.", {
        endpoint: order.endpoint,
        error,
      });
    }
    emit({ kind: "orderDone", endpoint: order.endpoint, accepted });
  }

  #logDebug(
    part: "peer" | "platform" | "order",
    text: string,
    { error, ...fields }: { error: unknown; [name: string]: unknown },
  ): void {
    this.#options.logger.debug(part, text, {
      ...fields,
      error: (error as Error).message,
    });
  }
}

/** Searches the chain of causes, since the client libraries wrap the system's error. */
function isConnectionRefused(error: unknown): boolean {
  for (let cause = error; cause instanceof Error; cause = cause.cause) {
    if ((cause as NodeJS.ErrnoException).code === "ECONNREFUSED") {
      return true;
    }
  }
  return false;
}
