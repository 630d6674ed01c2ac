/**
 * Works out what a request is known by while its body passes.
 *
 * @module
 */
import { createHash, type Hash } from "node:crypto";
import type { IncomingMessage } from "node:http";
import type {
  CallerDigest,
  ContentDigest,
  RequestFingerprint,
} from "@sassafrasstep/core";

/**
 * Characters of a digest. Ninety-six bits of SHA-256: nobody finds another body with the digest of a
 * request that he wants refused, and what is kept of a body is of one size, however long it is.
 */
const CONTENT_LENGTH = 16;
/** Callers are told apart for a request only, so that less will do. */
const CALLER_LENGTH = 8;

/** Digests one request: host and path first, then its body. */
export class FingerprintBuilder {
  readonly #hash: Hash = createHash("sha256");
  readonly #caller: string;

  /** The caller is who sent it, as far as an entry sees: the address without its port. */
  constructor({ headers, url, socket }: IncomingMessage) {
    const host = headers.host?.toLowerCase() ?? "";
    this.#hash.update(`${host}\n${url ?? ""}\n`);
    this.#caller = socket.remoteAddress ?? "";
  }

  add(chunk: Buffer): void {
    this.#hash.update(chunk);
  }

  /** Call it once. */
  build(): RequestFingerprint {
    const content = this.#hash.digest("base64url").slice(0, CONTENT_LENGTH);
    return {
      content: content as ContentDigest,
      caller: callerDigest(this.#caller),
    };
  }
}

function callerDigest(name: string): CallerDigest {
  const digest = createHash("sha256").update(name).digest("base64url");
  return digest.slice(0, CALLER_LENGTH) as CallerDigest;
}
