/**
 * Optional decisions of an entry, and the conditions under which each is in use.
 *
 * @module
 */

/** An optional decision. */
export type FeatureName =
  /** Endpoints are chosen by how fast they are at present. */
  | "endpointPace"
  /** Customers share a region's capacity by their limits while there is too little. */
  | "fairShares"
  /** Requests wait or are refused by what waits in the whole region. */
  | "regionAdmission"
  /** Work is sent to a region that would begin it sooner, before the own region's queue has grown. */
  | "earlyRelay";

/** All optional decisions, in the order in which they are listed to operators. */
export const FEATURE_NAMES: readonly FeatureName[] = [
  "endpointPace",
  "fairShares",
  "regionAdmission",
  "earlyRelay",
];

/** Whether a feature is in use. `auto` depends on what the deployment holds. */
export type FeatureSetting = "auto" | "on" | "off";

/** The setting of each feature. */
export type FeatureSettings = Readonly<Record<FeatureName, FeatureSetting>>;

/** Every feature on `auto`. */
export const AUTOMATIC_FEATURES: FeatureSettings = {
  endpointPace: "auto",
  fairShares: "auto",
  regionAdmission: "auto",
  earlyRelay: "auto",
};

/** What a deployment holds, as far as an entry knows at present. */
export interface DeploymentFacts {
  /** Whether an endpoint has reported how its machine is slowed down by other work. */
  readonly reportsContention: boolean;
  /** Whether the document has customers with limits. */
  readonly hasCustomerLimits: boolean;
}

/** Tells which features are in use. */
export class Features {
  readonly #settings: FeatureSettings;
  readonly #facts: () => DeploymentFacts;

  constructor(settings: FeatureSettings, facts: () => DeploymentFacts) {
    this.#settings = settings;
    this.#facts = facts;
  }

  isOn(name: FeatureName): boolean {
    const setting = this.#settings[name];
    return setting === "auto" ? this.#isCalledFor(name) : setting === "on";
  }

  /** The features in use. */
  get active(): FeatureName[] {
    return FEATURE_NAMES.filter((name) => this.isOn(name));
  }

  /**
   * Endpoints whose speed is constant are planned for by their measured rates. Where machines are shared, capacity
   * changes within a second, and an entry's own queue and averages say little about the region. The others are in
   * use only where an operator asks for them.
   */
  #isCalledFor(name: FeatureName): boolean {
    const { reportsContention, hasCustomerLimits } = this.#facts();
    switch (name) {
      case "fairShares":
        return reportsContention && hasCustomerLimits;
      case "endpointPace":
        return reportsContention;
      default:
        return false;
    }
  }
}
