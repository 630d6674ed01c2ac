/**
 * Orders engines to load the models that the configuration asks for.
 *
 * @module
 */
import type { Blackboard, Endpoint } from "../blackboard/index.ts";
import {
  after,
  type EndpointId,
  type Instant,
  instant,
  rendezvous,
} from "../ids/index.ts";
import type { Emit } from "../messages/index.ts";
import type { ModelService } from "../text/index.ts";
import { assignModels } from "./placement.ts";

/** Interval between two checks of the placement. */
export const PLACEMENT_PERIOD_MS = 2_000;
/**
 * No orders are sent for this long after a pause of the process, so that load reports and the member list can
 * be refreshed first.
 */
export const ORDER_DELAY_AFTER_PAUSE_MS = 5_000;
/** No orders are sent for this long after a start, for the same reason. */
export const ORDER_DELAY_AFTER_START_MS = 5_000;
/** A load that no report confirms within this time is ordered again. */
export const ORDER_TIMEOUT_MS = 30_000;
/** Older load reports are not trusted to say which model an engine serves. */
const MAX_REPORT_AGE_MS = 5_000;
const MINUTE_MS = 60_000;

/**
 * Sends load orders to the engines of its zone. Keeps only its schedule and the last order to each engine.
 */
export class PlacementController {
  readonly #board: Blackboard;
  readonly #emit: Emit;
  readonly #lastOrders = new Map<
    EndpointId,
    { readonly at: Instant; readonly fence: number }
  >();
  #nextCheckAt: Instant;
  /**
   * Earliest time of the next order. Loads are spread over time because the weight store rejects requests
   * that come too fast.
   */
  #nextLoadAt: Instant;

  constructor(board: Blackboard, { emit, now }: { emit: Emit; now: Instant }) {
    this.#board = board;
    this.#emit = emit;
    this.#nextCheckAt = now;
    this.#nextLoadAt = now;
  }

  /** Checks the placement if a check is due. */
  tick(now: Instant): void {
    if (now < this.#nextCheckAt) {
      return;
    }
    this.#nextCheckAt = after(now, PLACEMENT_PERIOD_MS);
    if (this.#isOrderer(now)) {
      this.#assignAll(now);
    }
  }

  /**
   * Records an engine's answer to an order. A rejected order may be sent again after the engine's next
   * report.
   */
  noteOrderAnswer(endpoint: EndpointId, accepted: boolean): void {
    if (!accepted) {
      this.#lastOrders.delete(endpoint);
    }
  }

  /**
   * Whether this entry sends the orders for its zone now.
   *
   * During a network partition two entries may both send orders, and an entry that was paused may still try
   * to after it resumes. Neither does harm: equal configurations lead to equal orders, engines reject orders
   * whose fencing number belongs to an older configuration, and engines that ignore fencing reject orders
   * that expect another model than they serve. The delay after a pause keeps a resumed entry from acting on
   * outdated state.
   */
  #isOrderer(now: Instant): boolean {
    const { self, lifecycle, configuration, membership } = this.#board;
    if (!this.#isConfigurationConfirmed()) {
      return false;
    }
    const recentlyWoken = lifecycle.resumedAt !== undefined &&
      now - lifecycle.resumedAt < ORDER_DELAY_AFTER_PAUSE_MS;
    const recentlyStarted =
      now - lifecycle.startedAt < ORDER_DELAY_AFTER_START_MS;
    if (
      lifecycle.phase !== "ready" || recentlyWoken || recentlyStarted ||
      configuration.unconfirmed
    ) {
      return false;
    }
    const candidates: string[] = [self.incarnation];
    for (const { health, record } of membership.members.values()) {
      if (
        health === "live" && record.zone === self.zone &&
        record.state === "ready"
      ) {
        candidates.push(record.incarnation);
      }
    }
    return rendezvous(
      `orders ${self.zone}`,
      candidates,
      (member) => member,
    )[0] ===
      self.incarnation;
  }

  /**
   * Whether the platform or a peer confirmed the configuration since the last pause. An entry that resumes
   * without contact to either continues to serve with the configuration it has. It must not send orders,
   * because it may be the only entry that still uses that configuration, and an engine that ignores fencing
   * would go back to an old model.
   */
  #isConfigurationConfirmed(): boolean {
    const { configuration, lifecycle } = this.#board;
    const { confirmedAt } = configuration;
    return confirmedAt !== undefined &&
      (lifecycle.resumedAt === undefined || confirmedAt >= lifecycle.resumedAt);
  }

  #assignAll(now: Instant): void {
    const pools = new Map<string, ModelService[]>();
    for (
      const service of this.#board.configuration.deployment!.services.values()
    ) {
      if (
        service.kind === "model" &&
        service.regions.includes(this.#board.self.region)
      ) {
        pools.set(service.pool, [...(pools.get(service.pool) ?? []), service]);
      }
    }
    for (const [pool, services] of pools) {
      this.#assignPool(pool, services, now);
    }
  }

  #assignPool(
    pool: string,
    services: readonly ModelService[],
    now: Instant,
  ): void {
    const engines = [...this.#board.endpoints.endpoints.values()].filter((
      endpoint,
    ) =>
      endpoint.vm.pool === pool && endpoint.vm.zone === this.#board.self.zone &&
      isAssignable(endpoint, now)
    );
    const assigned = assignModels(
      services,
      engines.map((engine) => ({
        id: engine.vm.id,
        model: engine.load!.model,
      })),
    );
    for (const engine of engines) {
      const model = assigned.get(engine.vm.id);
      if (model !== undefined && model !== engine.load!.model) {
        this.#order(engine, model, now);
      }
    }
  }

  #order(engine: Endpoint, model: string, now: Instant): void {
    const fence = this.#board.configuration.revision;
    const { id, url } = engine.vm;
    const lastOrder = this.#lastOrders.get(id);
    const pending = lastOrder !== undefined && lastOrder.fence === fence &&
      now - lastOrder.at < ORDER_TIMEOUT_MS;
    // An engine that accepted an order of a newer configuration is not ordered back.
    if (pending || engine.load!.fence > fence || now < this.#nextLoadAt) {
      return;
    }
    const { loadsPerMinute } = this.#board.configuration.deployment!;
    const base = Math.max(this.#nextLoadAt, now - PLACEMENT_PERIOD_MS);
    this.#nextLoadAt = after(instant(base), MINUTE_MS / loadsPerMinute);
    this.#lastOrders.set(id, { at: now, fence });
    this.#emit({
      kind: "log",
      part: "order",
      text: "Ordered a model.",
      fields: { endpoint: id, model, fence },
    });
    this.#emit({
      kind: "order",
      order: { endpoint: id, url, model, fence, expected: engine.load!.model },
    });
  }
}

function isAssignable(endpoint: Endpoint, now: Instant): boolean {
  const hasRecentReport = endpoint.loadAt !== undefined &&
    now - endpoint.loadAt < MAX_REPORT_AGE_MS;
  return hasRecentReport && endpoint.state === "live" &&
    endpoint.leaving === undefined;
}
