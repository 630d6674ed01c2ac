/**
 * Actions, which are calls that must not be repeated: the right to run idempotency keys, the used keys and their
 * outcomes.
 *
 * The right to run a key exists in the memory of one process only and ends with it. There are no locks or
 * leases: a process gains a right of another one only after that process has given it up.
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
  ActionOutcome,
  Emit,
  KeyHandOver,
  OutcomeCopy,
} from "../messages/index.ts";
import { outcomeBytes, OutcomeCopies, scopedKey } from "./outcome_copies.ts";
import { keepersOf, otherKeeper } from "./outcome_keepers.ts";
import { KEPT_EPOCHS, OwnerRights } from "./owner_rights.ts";
import { formatOwnerToken, type KeyOwner } from "./owner_token.ts";
import {
  type KeyStatus,
  MAX_KEPT_ANSWER_BYTES,
  MAX_USED_KEYS,
  toUsedKey,
  type UsedAction,
} from "./used_action.ts";

/** Manages used keys and their outcomes. Implements the `actions` section of the blackboard. */
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

  /** Returns the token from which callers make idempotency keys. */
  ownerToken(now: Instant): string {
    const { id, incarnation } = this.#board.self;
    return formatOwnerToken(id, incarnation, this.epoch(now));
  }

  /** Whether the limits of used keys or of kept answers are reached, so that no new key can be used. */
  get full(): boolean {
    return this.#used.size >= MAX_USED_KEYS ||
      this.#answerBytes + this.#copies.bytes >= MAX_KEPT_ANSWER_BYTES;
  }

  /** Removes keys of expired epochs and expired copies. */
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
        this.#removeUsedKey(id);
      }
    }
    this.#copies.expire(now);
  }

  /** Returns the status of a customer's key, as far as this entry knows. */
  keyStatus(customer: CustomerId, owner: KeyOwner, now: Instant): KeyStatus {
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
        : this.#ownKeyStatus(owner, now);
    }
    return this.#foreignKeyStatus(customer, owner);
  }

  /**
   * Marks a key as used, before anything is sent.
   *
   * If two sends with one key arrived together and both found it unused, the action would run twice. The
   * key is therefore looked up and marked in one synchronous step. It stays marked until it is known that
   * nothing ran.
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

  /** Whether this entry may still run a key that it marked as used. After a hand-over it must not. */
  mayRun(customer: CustomerId, owner: KeyOwner): boolean {
    return this.#rights.has(owner.incarnation) &&
      this.#used.has(scopedKey(customer, owner.key));
  }

  /** Makes a key usable again after all attempts ended without running the call. */
  release(customer: CustomerId, key: IdempotencyKey): void {
    this.#used.delete(scopedKey(customer, key));
  }

  /** Records the outcome of a key and copies it to peers of the home region. */
  recordOutcome(
    customer: CustomerId,
    key: IdempotencyKey,
    outcome: ActionOutcome,
  ): void {
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

  /** Keeps the copy of an outcome that a peer sent. */
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
   * Gives up all rights and hands keys and outcomes over to one successor.
   *
   * Two owners of one key could both run it. The rights are therefore removed from this process before the
   * message is sent, and it is sent once, to one entry. If the message is lost, so are the rights, and callers
   * get `may_have_run` instead of a second run. Returns the number of messages sent, one for each incarnation
   * whose keys this entry owned.
   */
  handOver(now: Instant): number {
    const successor = this.#chooseSuccessor();
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

  /** Takes over the rights that a peer gave up. Returns whether they were accepted. */
  takeOver(handOver: KeyHandOver, now: Instant): boolean {
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
   * Returns the status of an unrecorded key that this entry owns. A key of an expired epoch may have been used and
   * removed since, so it never runs. Otherwise an action would run again when an old request is replayed.
   */
  #ownKeyStatus(owner: KeyOwner, now: Instant): KeyStatus {
    return this.#rights.isCurrent(owner.incarnation, owner.epoch, now)
      ? { kind: "unused" }
      : { kind: "expired" };
  }

  #foreignKeyStatus(customer: CustomerId, owner: KeyOwner): KeyStatus {
    const kept = this.#copies.get(customer, owner.key);
    if (kept !== undefined) {
      // An outcome never changes, so the copy is as reliable as the owner's answer.
      return {
        kind: "known",
        bodyDigest: kept.bodyDigest,
        outcome: kept.outcome,
      };
    }
    const { self, membership } = this.#board;
    const member = this.#findOwner(owner.incarnation);
    if (member !== undefined) {
      return { kind: "elsewhere", member };
    }
    const hasEnded = owner.entry === self.id ||
      membership.endedIncarnations.has(owner.incarnation);
    const keeper = this.keeperOf(owner);
    if (keeper !== undefined) {
      return { kind: "perhaps_kept", member: keeper, ownerGone: hasEnded };
    }
    return hasEnded ? { kind: "gone" } : { kind: "unreachable" };
  }

  /**
   * Returns the live member that owns an incarnation's keys. During a hand-over two members may claim them, and
   * the one that is not stopping is the owner.
   */
  #findOwner(owner: Incarnation): Member | undefined {
    const owners = [...this.#board.membership.members.values()].filter((
      member,
    ) => member.health === "live" && member.record.owns.includes(owner));
    return owners.find((member) => member.record.state !== "stopping") ??
      owners[0];
  }

  /** Returns the peer that is most likely to keep a copy of a key's outcome, `undefined` if this entry is a keeper. */
  keeperOf(owner: KeyOwner): Member | undefined {
    return otherKeeper(this.#board, owner);
  }

  #chooseSuccessor(): Member | undefined {
    const { self, membership } = this.#board;
    const candidates = [...membership.members.values()].filter((member) =>
      member.health === "live" && member.record.state === "ready" &&
      member.record.region === self.region
    );
    // Peers in other zones are preferred, since this whole zone may be stopping.
    const zonePreference = (
      member: Member,
    ): number => (member.record.zone === self.zone ? 1 : 0);
    return candidates.sort((left, right) =>
      zonePreference(left) - zonePreference(right) ||
      right.heardAt - left.heardAt
    )[0];
  }

  #sendCopies(copy: OutcomeCopy, owner: Incarnation): void {
    // A copy in another region would take a home-bound customer's answer out of its home region.
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

  #removeUsedKey(id: string): void {
    this.#answerBytes -= outcomeBytes(this.#used.get(id)?.outcome);
    this.#used.delete(id);
  }
}
