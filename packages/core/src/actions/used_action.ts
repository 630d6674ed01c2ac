/**
 * What is kept of a used key, and what can be said of one.
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
import type { Outcome, UsedKey } from "../messages/index.ts";

/** Used keys that one entry keeps; a new key beyond it is refused before it runs. */
export const MAX_USED_KEYS = 20_000;
/** Bytes of kept answers, own and copied. */
export const MAX_KEPT_ANSWER_BYTES = 8_388_608;

/** What this entry can say of a key. */
export type Standing =
  /** This entry owns it and it was never used, or every use ended without a run. */
  | { readonly kind: "unused" }
  | { readonly kind: "running"; readonly bodyDigest: string }
  | {
    readonly kind: "known";
    readonly bodyDigest: string;
    readonly outcome: Outcome;
  }
  /** This entry owns it, and its epoch is over. */
  | { readonly kind: "expired" }
  /** This entry owns it, and never gave out a token of that epoch. */
  | { readonly kind: "invalid" }
  | { readonly kind: "elsewhere"; readonly member: Member }
  /** The owner is not heard; this peer may keep a copy of the outcome. */
  | {
    readonly kind: "perhaps_kept";
    readonly member: Member;
    readonly ownerGone: boolean;
  }
  /** The owner's incarnation ended and nothing more can be learnt. */
  | { readonly kind: "gone" }
  /** The owner is not heard, and may be alive. */
  | { readonly kind: "unreachable" };

/** One key that was used here, or at a peer whose keys came here. */
export interface UsedAction {
  readonly customer: CustomerId;
  readonly home: RegionId;
  readonly key: IdempotencyKey;
  readonly owner: Incarnation;
  readonly epoch: number;
  readonly bodyDigest: string;
  readonly outcome: Outcome | undefined;
}

/** The action as it is handed over. */
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
