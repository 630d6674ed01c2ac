/**
 * Assigns models to the engines of a zone's pool. The result depends on the configuration and the engines
 * alone, so two entries that see the same state send the same orders.
 *
 * @module
 */
import { rendezvous } from "../ids/index.ts";
import type { ModelService } from "../text/index.ts";

/** An engine and the model that it serves now. */
export interface LoadedEngine {
  readonly id: string;
  /** Empty if unknown. */
  readonly model: string;
}

/**
 * Returns the model for each engine by the engine's id. Engines keep their current model as far as the
 * models' shares allow.
 */
export function assignModels(
  services: readonly ModelService[],
  engines: readonly LoadedEngine[],
): Map<string, string> {
  const quotas = computeQuotas(services, engines.length);
  const assigned = new Map<string, string>();
  const sortedEngines = [...engines].sort((
    left,
    right,
  ) => (left.id < right.id ? -1 : 1));
  for (const engine of sortedEngines) {
    takeQuota(quotas, engine.model) && assigned.set(engine.id, engine.model);
  }
  for (
    const engine of sortedEngines.filter((candidate) =>
      !assigned.has(candidate.id)
    )
  ) {
    const available = [...quotas].filter(([, remaining]) => remaining > 0).map((
      [model],
    ) => model);
    const model = rendezvous(engine.id, available, (name) => name)[0];
    if (model !== undefined && takeQuota(quotas, model)) {
      assigned.set(engine.id, model);
    }
  }
  return assigned;
}

function takeQuota(quotas: Map<string, number>, model: string): boolean {
  const remaining = quotas.get(model) ?? 0;
  quotas.set(model, Math.max(0, remaining - 1));
  return remaining > 0;
}

/**
 * Returns the number of engines for each model, by the largest remainder method. While there are enough
 * engines, every model gets at least one.
 */
function computeQuotas(
  services: readonly ModelService[],
  engines: number,
): Map<string, number> {
  const shares = new Map<string, number>();
  for (const service of services) {
    shares.set(service.model, (shares.get(service.model) ?? 0) + service.share);
  }
  const totalShare = [...shares.values()].reduce(
    (sum, share) => sum + share,
    0,
  );
  const exactQuotas = [...shares].map(([model, share]) => ({
    model,
    exact: (share / totalShare) * engines,
  }));
  const quotas = new Map(
    exactQuotas.map(({ model, exact }) => [model, Math.floor(exact)]),
  );
  let unassigned = engines -
    [...quotas.values()].reduce((sum, quota) => sum + quota, 0);
  const remainders = exactQuotas.sort((a, b) =>
    Number(quotas.get(b.model) === 0) - Number(quotas.get(a.model) === 0) ||
    (b.exact % 1) - (a.exact % 1) || (a.model < b.model ? -1 : 1)
  );
  for (const { model } of remainders) {
    if (unassigned <= 0) {
      break;
    }
    quotas.set(model, quotas.get(model)! + 1);
    unassigned--;
  }
  return quotas;
}
