/**
 * Effects that talk to the platform, to peers and to endpoints beside the requests.
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

/** What effects are run with. */
export interface EffectTools {
  readonly region: RegionId;
  readonly peers: PeerClients;
  readonly platform: PlatformClient;
  readonly endpoints: EndpointClient;
  readonly logger: Logger;
  readonly tell: (event: CoreEvent) => void;
}

type EffectOf<Kind extends Effect["kind"]> = Extract<Effect, { kind: Kind }>;

/** Runs effects; each failure becomes an event or, where nothing hangs on it, a debug line. */
export class EffectRunner {
  readonly #tools: EffectTools;

  constructor(tools: EffectTools) {
    this.#tools = tools;
  }

  run(effect: Effect): void {
    switch (effect.kind) {
      case "log":
        this.#tools.logger.info(effect.part, effect.text, effect.fields);
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
    const { peers, tell } = this.#tools;
    try {
      const reply = await sendHeartbeat(peers.at(url), heartbeat);
      tell({ kind: "heartbeatReply", reply });
    } catch (error) {
      this.#note("peer", "Heartbeat was not answered.", { url, error });
      if (isConnectionRefused(error)) {
        tell({ kind: "peerRefused", url });
      }
    }
  }

  async #copyConfiguration(
    { from, url, have }: EffectOf<"copyConfiguration">,
  ): Promise<void> {
    const { peers, tell } = this.#tools;
    try {
      const copy = await copyConfiguration(peers.at(url), have);
      tell({
        kind: "configurationCopied",
        from,
        copy,
        answered: true,
      });
    } catch (error) {
      this.#note("peer", "Configuration was not copied.", { url, error });
      tell({
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
    const { platform, tell } = this.#tools;
    try {
      const published = await platform.readText(after, { wait });
      tell(
        published === undefined
          ? { kind: "configurationUnchanged" }
          : { kind: "configurationRead", ...published },
      );
    } catch (error) {
      this.#note("platform", "Configuration was not read.", { error });
      tell({ kind: "configurationFailed" });
    }
  }

  async #listVms(): Promise<void> {
    const { platform, tell } = this.#tools;
    try {
      const vms = await platform.listVms(this.#tools.region);
      tell(
        vms === undefined
          ? { kind: "vmsUnchanged" }
          : { kind: "vmsListed", vms },
      );
    } catch (error) {
      this.#note("platform", "VM list was not read.", { error });
      tell({ kind: "vmListFailed" });
    }
  }

  async #sendOutcome({ url, copy }: EffectOf<"sendOutcome">): Promise<void> {
    try {
      await this.#tools.peers.at(url).outcome.mutate(copy);
    } catch (error) {
      this.#note("peer", "Outcome was not copied.", { url, error });
    }
  }

  async #sendHandOver(
    { url, handOver }: EffectOf<"sendHandOver">,
  ): Promise<void> {
    const { peers, logger, tell } = this.#tools;
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
    tell({ kind: "handOverDone" });
  }

  async #sendQuarantine(
    { url, news }: EffectOf<"sendQuarantine">,
  ): Promise<void> {
    try {
      const message = JSON.stringify(encodeQuarantineNews(news));
      await this.#tools.peers.at(url).quarantine.mutate(message);
    } catch (error) {
      this.#note("peer", "Ends of endpoints were not told.", { url, error });
    }
  }

  async #pollLoad({ endpoint, url }: EffectOf<"pollLoad">): Promise<void> {
    const { endpoints, tell } = this.#tools;
    try {
      tell({ kind: "load", endpoint, report: await endpoints.pollLoad(url) });
    } catch {
      tell({ kind: "loadFailed", endpoint });
    }
  }

  async #order({ order }: EffectOf<"order">): Promise<void> {
    const { endpoints, tell } = this.#tools;
    let accepted = false;
    try {
      accepted = await endpoints.order(order);
    } catch (error) {
      this.#note("order", "Order was not answered.", {
        endpoint: order.endpoint,
        error,
      });
    }
    tell({ kind: "orderDone", endpoint: order.endpoint, accepted });
  }

  #note(
    part: "peer" | "platform" | "order",
    text: string,
    { error, ...fields }: { error: unknown; [name: string]: unknown },
  ): void {
    this.#tools.logger.debug(part, text, {
      ...fields,
      error: (error as Error).message,
    });
  }
}

/** Looks through wrapped errors: the client libraries wrap the system's. */
function isConnectionRefused(error: unknown): boolean {
  for (let cause = error; cause instanceof Error; cause = cause.cause) {
    if ((cause as NodeJS.ErrnoException).code === "ECONNREFUSED") {
      return true;
    }
  }
  return false;
}
