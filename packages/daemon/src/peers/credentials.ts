/**
 * Proves that a peer belongs to the deployment, by an HMAC with the shared secret over a random nonce. This
 * keeps out processes that do not know the secret. It does not encrypt messages, and anybody who can read
 * the network traffic can replay a proof.
 *
 * @module
 */
import { createHmac, randomBytes, timingSafeEqual } from "node:crypto";

const NONCE_BYTES = 12;
const PROOF_PATTERN = /^([0-9a-f]{24})\.([0-9a-f]{64})$/;

/** Header that carries the proof. */
export const PEER_HEADER = "sassafrasstep-peer";

/** Creates and verifies proofs. */
export class Credentials {
  readonly #secret: string;
  readonly #deployment: string;

  constructor(secret: string, deployment: string) {
    this.#secret = secret;
    this.#deployment = deployment;
  }

  /** Creates a proof for one message. */
  createProof(): string {
    const nonce = randomBytes(NONCE_BYTES).toString("hex");
    return `${nonce}.${this.#sign(nonce).toString("hex")}`;
  }

  /** Verifies a proof. Compares in constant time, so that it cannot be guessed part by part. */
  verify(header: string | null | undefined): boolean {
    const match = PROOF_PATTERN.exec(header ?? "");
    if (match === null) {
      return false;
    }
    return timingSafeEqual(
      Buffer.from(match[2]!, "hex"),
      this.#sign(match[1]!),
    );
  }

  #sign(nonce: string): Buffer {
    return createHmac("sha256", this.#secret).update(
      `${this.#deployment}\n${nonce}`,
    ).digest();
  }
}
