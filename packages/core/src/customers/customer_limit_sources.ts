/**
 * What customers' limits depend on.
 *
 * @module
 */
import type {
  CustomerId,
  Incarnation,
  Instant,
  Randomness,
  RegionId,
} from "../ids/index.ts";
import type { CustomerLimit } from "./customer.ts";
import type { SpendingMessage } from "./spending_messages.ts";

/** Dependencies of the limits. */
export interface CustomerLimitSources {
  readonly self: {
    readonly incarnation: Incarnation;
    readonly region: RegionId;
  };
  readonly regions: readonly RegionId[];
  readonly random: Randomness;
  /**
   * Returns the aggregator of a region, `undefined` if none is known. Also `undefined` for the own region while
   * this entry is disconnected from most of its entries: otherwise each disconnected entry would consider itself
   * the aggregator.
   */
  readonly aggregatorOf: (region: RegionId, now: Instant) =>
    | Incarnation
    | undefined;
  /** Whether any customer has a limit. */
  readonly hasLimits: () => boolean;
  /** A customer's limit according to the document in force. */
  readonly limitOf: (customer: CustomerId) => CustomerLimit | undefined;
  /** Number of entries that may be alive, including this one. */
  readonly possibleEntries: () => number;
  /** Number of other entries of this region that may be alive. */
  readonly possiblePeers: () => number;
  readonly send: (to: Incarnation, message: SpendingMessage) => void;
}
