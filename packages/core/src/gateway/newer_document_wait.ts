/**
 * Requests that have to be judged by a newer document than this entry holds.
 *
 * @module
 */
import type {
  Incarnation,
  Instant,
  RequestId,
  Revision,
} from "../ids/index.ts";
import type { CallHead } from "./messages.ts";
import {
  createPendingCall,
  type PendingCall,
  PendingCalls,
} from "./pending_calls.ts";

/** A read of the platform that takes longer than this is not waited for alone. */
const COPY_AFTER_MS = 200;
/** How long a version that a peer has shown is asked for. */
const MAX_AWAITED_MS = 2_000;

/** Ways to obtain the document. */
export interface DocumentSource {
  /** Version that this entry holds, `undefined` before the first. */
  readonly version: () => Revision | undefined;
  /** Reads the platform. */
  readonly read: (now: Instant) => void;
  /** Copies the catalogue from a peer. */
  readonly copyFrom: (peer: Incarnation, now: Instant) => void;
}

/**
 * Holds requests until this entry has the newest document that it knows of. A caller that has seen a version in force, by
 * way of any entry, would otherwise see its requests handled by an older one again.
 */
export class NewerDocumentWait {
  readonly #source: DocumentSource;
  readonly #pending = new PendingCalls();
  /** The newest version that is waited for, and the peer that holds it. */
  #newest:
    | {
      readonly version: Revision;
      readonly holder: Incarnation;
      readonly since: Instant;
    }
    | undefined;

  constructor(source: DocumentSource) {
    this.#source = source;
  }

  get size(): number {
    return this.#pending.size;
  }

  /** The version by which a relayed request has to be judged at least. */
  requiredVersion(now: Instant): Revision | undefined {
    return this.#awaitedVersion(now) ?? this.#source.version();
  }

  /** Records that a peer has handled a request by a version of the document. */
  noteVersion(version: Revision, holder: Incarnation, now: Instant): void {
    const isNewest = this.#newest === undefined ||
      version > this.#newest.version;
    if (!this.#has(version) && isNewest) {
      this.#newest = { version, holder, since: now };
      this.#source.read(now);
    }
  }

  /** Holds a request if it needs a newer document. Returns whether it is held. */
  hold(head: CallHead, now: Instant): boolean {
    const { relay } = head;
    if (relay?.documentVersion !== undefined) {
      this.noteVersion(relay.documentVersion, relay.from, now);
    }
    const version = relay === undefined
      ? this.#awaitedVersion(now)
      : relay.documentVersion;
    if (version === undefined || this.#has(version)) {
      return false;
    }
    this.#pending.put(createPendingCall(head, now));
    return true;
  }

  /** Removes the request of a caller that left. Returns whether it was here. */
  remove(id: RequestId): boolean {
    return this.#pending.remove(id);
  }

  takeAll(): PendingCall[] {
    return this.#pending.takeAll();
  }

  /** Removes and returns the requests that can be judged now, and those that have waited for too long. */
  take(now: Instant): { ready: PendingCall[]; expired: PendingCall[] } {
    if (this.#newest !== undefined && this.#has(this.#newest.version)) {
      this.#newest = undefined;
      return { ready: this.#pending.takeAll(), expired: [] };
    }
    const expired = this.#pending.takeExpired(now);
    this.#copyIfReadIsLate(now);
    return { ready: [], expired };
  }

  /**
   * The newest version that a peer has shown. After a while without it this entry is cut off, or the peer has ended, and
   * requests are judged by what there is.
   */
  #awaitedVersion(now: Instant): Revision | undefined {
    return this.#newest !== undefined &&
        now - this.#newest.since < MAX_AWAITED_MS
      ? this.#newest.version
      : undefined;
  }

  #copyIfReadIsLate(now: Instant): void {
    if (this.#newest !== undefined) {
      const { holder, since } = this.#newest;
      if (now - since >= COPY_AFTER_MS) {
        this.#source.copyFrom(holder, now);
      }
    }
  }

  #has(version: Revision): boolean {
    const held = this.#source.version();
    return held !== undefined && held >= version;
  }
}
