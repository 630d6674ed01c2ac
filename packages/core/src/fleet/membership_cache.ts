/**
 * Keeps what is derived from the fleet's members until they change.
 *
 * @module
 */
import type { RegionId } from "../ids/index.ts";

type Derivation<Fleet, Value> = (region: RegionId, fleet: Fleet) => Value;

/** Holds the results of derivations for one version of the membership. */
export class MembershipCache<Fleet> {
  readonly #values = new Map<
    Derivation<Fleet, unknown>,
    Map<RegionId, unknown>
  >();
  #version: number | undefined;

  /** Returns what a derivation yields at a version of the membership. */
  get<Value>(
    { derivation, region, fleet }: {
      derivation: Derivation<Fleet, Value>;
      region: RegionId;
      fleet: Fleet;
    },
    version: number,
  ): Value {
    if (version !== this.#version) {
      this.#version = version;
      this.#values.clear();
    }
    let values = this.#values.get(derivation);
    if (values === undefined) {
      values = new Map();
      this.#values.set(derivation, values);
    }
    if (!values.has(region)) {
      values.set(region, derivation(region, fleet));
    }
    return values.get(region) as Value;
  }
}
