/**
 * Carries entries' calls to the platform, and their load polls and model orders to endpoints, in virtual
 * time.
 *
 * @module
 */
import type { Effect, ServiceRevision } from "@sassafrasstep/core";
import { PLATFORM } from "./network.ts";
import type { VirtualEntry } from "./virtual_entry.ts";
import type { World } from "./world.ts";

const WATCH_WAIT_MS = 20_000;
const POLL_TIMEOUT_MS = 1_000;
const PLATFORM_TIMEOUT_MS = 3_000;

/** Carries calls to the platform and control calls to endpoints. */
export class PlatformTransport {
  readonly #world: World;

  constructor(world: World) {
    this.#world = world;
  }

  /** Reads the configuration, or waits for a revision newer than `after`. */
  readConfiguration(
    entry: VirtualEntry,
    { after, wait }: Extract<Effect, { kind: "readConfiguration" }>,
  ): void {
    const { configuration, network, time } = this.#world;
    if (!network.reaches(entry, PLATFORM)) {
      time.after(
        PLATFORM_TIMEOUT_MS,
        () => entry.sendEvent({ kind: "configurationFailed" }),
      );
      return;
    }
    configuration.calls++;
    let answered = false;
    let unwatch = (): void => {};
    const answer = (): void => {
      if (!answered) {
        answered = true;
        unwatch();
        time.after(1, () => this.#answerConfiguration(entry, { after, wait }));
      }
    };
    const nothingNew = wait && configuration.mode === "normal" &&
      configuration.revision <= after;
    if (!nothingNew) {
      answer();
      return;
    }
    unwatch = configuration.watch(answer);
    time.after(WATCH_WAIT_MS, answer);
  }

  #answerConfiguration(
    entry: VirtualEntry,
    { after, wait }: { after: ServiceRevision; wait: boolean },
  ): void {
    const published = this.#world.configuration.read();
    if (
      published === undefined || !this.#world.network.reaches(PLATFORM, entry)
    ) {
      entry.sendEvent({ kind: "configurationFailed" });
    } else if (wait && published.revision === after) {
      entry.sendEvent({ kind: "configurationUnchanged" });
    } else {
      entry.sendEvent({ kind: "configurationRead", ...published });
    }
  }

  /** Reads the VM list. */
  listVms(entry: VirtualEntry): void {
    const down = this.#world.vmList.down ||
      !this.#world.network.reaches(entry, PLATFORM);
    this.#world.time.after(down ? PLATFORM_TIMEOUT_MS : 1, () => {
      if (down) {
        entry.sendEvent({ kind: "vmListFailed" });
        return;
      }
      const vms = this.#world.vmList.empty
        ? []
        : this.#world.vmList.read(this.#world.time.now);
      for (const { id } of vms.filter(({ state }) => state === "leaving")) {
        this.#world.endpoints.get(id)?.recordLeavingNotice(
          entry.zone,
          this.#world.time.now,
        );
      }
      entry.sendEvent({ kind: "vmsListed", vms });
    });
  }

  /** Polls an endpoint's load. */
  pollLoad(
    entry: VirtualEntry,
    { endpoint: id }: Extract<Effect, { kind: "pollLoad" }>,
  ): void {
    const endpoint = this.#world.endpoint(id);
    if (
      endpoint === undefined || endpoint.dead ||
      !this.#world.network.reaches(entry, endpoint)
    ) {
      this.#world.time.after(
        POLL_TIMEOUT_MS,
        () => entry.sendEvent({ kind: "loadFailed", endpoint: id }),
      );
      return;
    }
    this.#world.time.after(2, () => {
      const report = endpoint.report();
      if (report.draining) {
        endpoint.recordLeavingNotice(entry.zone, this.#world.time.now);
      }
      entry.sendEvent({ kind: "load", endpoint: id, report });
    });
  }

  /** Orders an engine to serve a model. */
  order(
    entry: VirtualEntry,
    { order }: Extract<Effect, { kind: "order" }>,
  ): void {
    const endpoint = this.#world.endpoint(order.endpoint);
    const reached = endpoint !== undefined && !endpoint.dead &&
      this.#world.network.reaches(entry, endpoint);
    this.#world.time.after(this.#world.orderDelayMs, () => {
      const accepted = reached && endpoint.order(order, this.#world.time.now);
      entry.sendEvent({
        kind: "orderDone",
        endpoint: order.endpoint,
        accepted,
      });
    });
  }
}
