/**
 * Calls that may not be repeated: who may run a key, which were used, and with what outcome.
 *
 * The right to run a key lives in one process's memory and dies with it. Nothing here is a lock or a
 * lease: an owner never gains a right that another had without that one having given it up first.
 *
 * @module
 */
import type { ActionsView, Blackboard, Member } from "../blackboard/index.ts";
import {
  type CustomerId,
  type IdempotencyKey,
  type Incarnation,
  type Instant,
  milliseconds,
  type RegionId,
} from "../ids/index.ts";
import type {
  Emit,
  HandOver,
  Outcome,
  OutcomeCopy,
} from "../messages/index.ts";
import { outcomeBytes, OutcomeCopies, scopedKey } from "./outcome_copies.ts";
import { keepersOf, otherKeeper } from "./outcome_keepers.ts";
import { KEPT_EPOCHS, OwnerRights } from "./owner_rights.ts";
import { formatOwnerToken, type KeyOwner } from "./owner_token.ts";
import {
  MAX_KEPT_ANSWER_BYTES,
  MAX_USED_KEYS,
  type Standing,
  toUsedKey,
  type UsedAction,
} from "./used_action.ts";

/** Writes the `actions` section, and is its view. */
export class ActionController implements ActionsView {
  readonly #board: Blackboard;
  readonly #emit: Emit;
  readonly #rights: OwnerRights;
  readonly #used = new Map<string, UsedAction>();
  readonly #copies = new OutcomeCopies();
  #answerBytes = 0;
  #lastEpochs = "";

  constructor(board: Blackboard, { emit, now }: { emit: Emit; now: Instant }) {
    this.#board = board;
    this.#emit = emit;
    this.#rights = new OwnerRights(board.self.epochLength);
    this.#rights.grant(board.self.incarnation, now);
  }

  get usedKeys(): number {
    return this.#used.size;
  }

  get copies(): number {
    return this.#copies.size;
  }

  get owns(): readonly Incarnation[] {
    return this.#rights.owners();
  }

  epoch(now: Instant): number {
    return this.#rights.epochOf(this.#board.self.incarnation, now) ?? 0;
  }

  /** The token that callers make keys from. */
  ownerToken(now: Instant): string {
    const { id, incarnation } = this.#board.self;
    return formatOwnerToken(id, incarnation, this.epoch(now));
  }

  /** Whether another key fits. */
  get full(): boolean {
    return this.#used.size >= MAX_USED_KEYS ||
      this.#answerBytes + this.#copies.bytes >= MAX_KEPT_ANSWER_BYTES;
  }

  /** Drops keys of epochs that are over, and old copies. */
  tick(now: Instant): void {
    const epochs = this.#rights.owners().map((owner) =>
      this.#rights.epochOf(owner, now)
    ).join();
    if (epochs === this.#lastEpochs) {
      return;
    }
    this.#lastEpochs = epochs;
    for (const [id, action] of this.#used) {
      if (
        action.outcome !== undefined &&
        !this.#rights.isCurrent(action.owner, action.epoch, now)
      ) {
        this.#forgetUsed(id);
      }
    }
    this.#copies.expire(now);
  }

  /** What is known of a customer's key. */
  standing(customer: CustomerId, owner: KeyOwner, now: Instant): Standing {
    const action = this.#used.get(scopedKey(customer, owner.key));
    if (action !== undefined) {
      return action.outcome === undefined
        ? { kind: "running", bodyDigest: action.bodyDigest }
        : {
          kind: "known",
          bodyDigest: action.bodyDigest,
          outcome: action.outcome,
        };
    }
    const epoch = this.#rights.epochOf(owner.incarnation, now);
    if (epoch !== undefined) {
      return owner.epoch > epoch
        ? { kind: "invalid" }
        : this.#ownStanding(owner, now);
    }
    return this.#foreignStanding(customer, owner);
  }

  /**
   * Marks a key as used, before anything is sent.
   *
   * Two sends of one key could reach the owner together, and both find it unused: a badge printed
   * twice. Looking and marking are one step on the one thread, and from then on the key is used
   * until it is known that nothing ran.
   */
  begin(
    customer: CustomerId,
    owner: KeyOwner,
    { bodyDigest, home }: { bodyDigest: string; home: RegionId },
  ): void {
    this.#used.set(scopedKey(customer, owner.key), {
      customer,
      home,
      key: owner.key,
      owner: owner.incarnation,
      epoch: owner.epoch,
      bodyDigest,
      outcome: undefined,
    });
  }

  /** Whether this entry may still send a key that it began: not after a hand-over. */
  mayRun(customer: CustomerId, owner: KeyOwner): boolean {
    return this.#rights.has(owner.incarnation) &&
      this.#used.has(scopedKey(customer, owner.key));
  }

  /** Every attempt ended without a run: the key may be used again. */
  release(customer: CustomerId, key: IdempotencyKey): void {
    this.#used.delete(scopedKey(customer, key));
  }

  /** Notes the outcome and copies it to peers of the home region. */
  settle(customer: CustomerId, key: IdempotencyKey, outcome: Outcome): void {
    const id = scopedKey(customer, key);
    const action = this.#used.get(id);
    if (action === undefined || action.outcome !== undefined) {
      return;
    }
    this.#used.set(id, { ...action, outcome });
    this.#answerBytes += outcomeBytes(outcome);
    this.#sendCopies({
      customer,
      home: action.home,
      key,
      bodyDigest: action.bodyDigest,
      outcome,
    }, action.owner);
  }

  /** Keeps a peer's outcome. */
  keepCopy(copy: OutcomeCopy, now: Instant): void {
    const { self } = this.#board;
    if (
      copy.home !== self.region || this.full ||
      this.#copies.size >= MAX_USED_KEYS
    ) {
      return;
    }
    this.#copies.add(copy, {
      keptFor: milliseconds(self.epochLength * KEPT_EPOCHS),
      now,
    });
  }

  /**
   * Gives up every right and hands keys and outcomes to one successor.
   *
   * Two owners of one key could both run it. The rights are gone from this process before the
   * message leaves, and it is sent once, to one entry: if it is lost, so are the rights, and callers
   * get `may_have_run` instead of a second run. Returns the number of messages sent, one for each
   * incarnation whose keys this entry owned.
   */
  handOver(now: Instant): number {
    const successor = this.#successor();
    const ages = this.#rights.giveUpAll(now);
    const used = [...this.#used.values()];
    this.#used.clear();
    if (successor === undefined) {
      return 0;
    }
    for (const { owner, epoch, epochAge } of ages) {
      const own = used.filter((action) => action.owner === owner);
      this.#emit({
        kind: "sendHandOver",
        url: successor.record.controlUrl,
        handOver: { owner, epoch, epochAge, used: own.map(toUsedKey) },
      });
    }
    return ages.length;
  }

  /** Takes over the rights of an incarnation that gave them up. */
  takeOver(handOver: HandOver, now: Instant): boolean {
    const stopping = this.#board.lifecycle.phase === "stopping" ||
      this.#board.lifecycle.phase === "stopped";
    if (stopping || this.#rights.has(handOver.owner)) {
      return !stopping;
    }
    this.#rights.takeOver(handOver, now);
    for (const key of handOver.used) {
      const { outcome } = key;
      this.#used.set(scopedKey(key.customer, key.key), {
        ...key,
        owner: handOver.owner,
        outcome,
      });
      this.#answerBytes += outcomeBytes(outcome);
    }
    this.#emit({
      kind: "log",
      part: "action",
      text: "Took over keys of an entry that stopped.",
      fields: { owner: handOver.owner, used: handOver.used.length },
    });
    return true;
  }

  /**
   * A key of an epoch that is over may have been used and forgotten since: it never runs.
   * One would notice its absence by a top-up that runs again when an old request is replayed.
   */
  #ownStanding(owner: KeyOwner, now: Instant): Standing {
    return this.#rights.isCurrent(owner.incarnation, owner.epoch, now)
      ? { kind: "unused" }
      : { kind: "expired" };
  }

  #foreignStanding(customer: CustomerId, owner: KeyOwner): Standing {
    const kept = this.#copies.get(customer, owner.key);
    if (kept !== undefined) {
      // An outcome never changes, so a copy is as good as the owner's word.
      return {
        kind: "known",
        bodyDigest: kept.bodyDigest,
        outcome: kept.outcome,
      };
    }
    const { self, membership } = this.#board;
    const member = this.#memberOwning(owner.incarnation);
    if (member !== undefined) {
      return { kind: "elsewhere", member };
    }
    const replaced = owner.entry === self.id ||
      membership.gone.has(owner.incarnation);
    const keeper = this.keeperOf(owner);
    if (keeper !== undefined) {
      return { kind: "perhaps_kept", member: keeper, ownerGone: replaced };
    }
    return replaced ? { kind: "gone" } : { kind: "unreachable" };
  }

  /** Two may say that they own it while a hand-over is under way: the one that is not stopping does. */
  #memberOwning(owner: Incarnation): Member | undefined {
    const owning = [...this.#board.membership.members.values()].filter((
      member,
    ) => member.health === "live" && member.record.owns.includes(owner));
    return owning.find((member) => member.record.state !== "stopping") ??
      owning[0];
  }

  /** The peer most likely to keep a copy of a key's outcome, unless that is this entry. */
  keeperOf(owner: KeyOwner): Member | undefined {
    return otherKeeper(this.#board, owner);
  }

  #successor(): Member | undefined {
    const { self, membership } = this.#board;
    const candidates = [...membership.members.values()].filter((member) =>
      member.health === "live" && member.record.state === "ready" &&
      member.record.region === self.region
    );
    // The own zone last: it may be the whole zone that is being stopped.
    const distance = (
      member: Member,
    ): number => (member.record.zone === self.zone ? 1 : 0);
    return candidates.sort((left, right) =>
      distance(left) - distance(right) || right.heardAt - left.heardAt
    )[0];
  }

  #sendCopies(copy: OutcomeCopy, owner: Incarnation): void {
    // A copy in another region would take a bound customer's answer out of its home.
    if (copy.home !== this.#board.self.region) {
      return;
    }
    for (
      const keeper of keepersOf(this.#board, {
        key: copy.key,
        incarnation: owner,
      })
    ) {
      if (keeper !== "self") {
        this.#emit({
          kind: "sendOutcome",
          url: keeper.record.controlUrl,
          copy,
        });
      }
    }
  }

  #forgetUsed(id: string): void {
    this.#answerBytes -= outcomeBytes(this.#used.get(id)?.outcome);
    this.#used.delete(id);
  }
}
