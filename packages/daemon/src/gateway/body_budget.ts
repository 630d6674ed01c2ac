/**
 * Limits the memory that the bodies of callers' requests take together.
 *
 * @module
 */

/** A body is held until its request is answered, and several times its size is in use while it is received and sent. */
const BODY_SHARE = 0.2;

/** The memory for bodies of one entry. */
export class BodyBudget {
  readonly #limitBytes: number;
  #heldBytes = 0;

  /** `memoryBytes` is what the entry may use in all. */
  constructor(memoryBytes: number) {
    this.#limitBytes = memoryBytes * BODY_SHARE;
  }

  /** Bytes of the requests under way, as far as they are known. */
  get heldBytes(): number {
    return this.#heldBytes;
  }

  /** Opens the reservation of one request, which holds nothing yet. */
  open(): BodyReservation {
    return new BodyReservation((bytes) => this.#take(bytes));
  }

  /** A single body is accepted whatever its size, since it could never be sent otherwise. */
  #take(bytes: number): boolean {
    const fits = bytes <= 0 || this.#heldBytes === 0 ||
      this.#heldBytes + bytes <= this.#limitBytes;
    if (fits) {
      this.#heldBytes += bytes;
    }
    return fits;
  }
}

/** What one request holds of the budget. */
export class BodyReservation {
  readonly #take: (bytes: number) => boolean;
  #bytes = 0;

  constructor(take: (bytes: number) => boolean) {
    this.#take = take;
  }

  /** Raises the reservation to a size. Returns whether there is room, and holds what it held before if not. */
  growTo(bytes: number): boolean {
    const missing = bytes - this.#bytes;
    if (missing <= 0) {
      return true;
    }
    const fits = this.#take(missing);
    this.#bytes += fits ? missing : 0;
    return fits;
  }

  release(): void {
    this.#take(-this.#bytes);
    this.#bytes = 0;
  }
}
