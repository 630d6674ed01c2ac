/**
 * Records of used keys, and the statuses that a key can have.
 *
 * @module
 */
import type { Member } from "../blackboard/index.ts";
import type {
  CustomerId,
  IdempotencyKey,
  Incarnation,
  RegionId,
} from "../ids/index.ts";
import type { ActionOutcome, UsedKey } from "../messages/index.ts";

/** Maximum number of used keys that one entry keeps. Calls with further new keys are refused before they run. */
export const MAX_USED_KEYS = 20_000;
/** Maximum size of kept answers in bytes: those of own keys and copies from peers. */
export const MAX_KEPT_ANSWER_BYTES = 8_388_608;

/** Status of a key, as far as this entry knows. */
export type KeyStatus =
  /** This entry owns the key, and it was never used or all uses ended without running the call. */
  | { readonly kind: "unused" }
  | { readonly kind: "running"; readonly bodyDigest: string }
  | {
    readonly kind: "known";
    readonly bodyDigest: string;
    readonly outcome: ActionOutcome;
  }
  /** This entry owns the key, and the key's epoch has expired. */
  | { readonly kind: "expired" }
  /** This entry owns the key, and has not issued tokens for the key's epoch yet. */
  | { readonly kind: "invalid" }
  | { readonly kind: "elsewhere"; readonly member: Member }
  /** No live entry owns the key, but this peer may keep a copy of the outcome. */
  | {
    readonly kind: "perhaps_kept";
    readonly member: Member;
    readonly ownerGone: boolean;
  }
  /** The owner has ended and no peer keeps a copy of the outcome. */
  | { readonly kind: "gone" }
  /** The owner is unreachable, and may be alive. */
  | { readonly kind: "unreachable" };

/** A key that was used at this entry, or at a peer that handed its keys over. */
export interface UsedAction {
  readonly customer: CustomerId;
  readonly home: RegionId;
  readonly key: IdempotencyKey;
  readonly owner: Incarnation;
  readonly epoch: number;
  readonly bodyDigest: string;
  readonly outcome: ActionOutcome | undefined;
}

/** Converts a used key to its form in a hand-over. An action without an outcome becomes `unknown`. */
export function toUsedKey(action: UsedAction): UsedKey {
  const { customer, home, key, bodyDigest, epoch } = action;
  return {
    customer,
    home,
    key,
    bodyDigest,
    epoch,
    outcome: action.outcome ?? { kind: "unknown" },
  };
}
