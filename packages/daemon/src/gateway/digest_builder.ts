/**
 * Computes the digests of a request while its body is received.
 *
 * @module
 */
import { createHash, type Hash } from "node:crypto";
import type { IncomingMessage } from "node:http";
import type {
  CallerDigest,
  ContentDigest,
  RepetitionDigests,
} from "@sassafrasstep/core";

/**
 * Length of a content digest in Base64 characters. With 96 bits of SHA-256 nobody can craft a body that
 * matches the digest of a request to have that request refused, and the digest has a fixed size however long
 * the body is.
 */
const CONTENT_DIGEST_CHARACTERS = 16;
/**
 * Length of a caller digest. Callers are only distinguished for the same request, so fewer characters
 * suffice.
 */
const CALLER_DIGEST_CHARACTERS = 8;

/** Computes the digests of one request from its host and path, then its body. */
export class DigestBuilder {
  readonly #hash: Hash = createHash("sha256");
  readonly #caller: string;

  /** The caller is identified by its IP address without the port. */
  constructor({ headers, url, socket }: IncomingMessage) {
    const host = headers.host?.toLowerCase() ?? "";
    this.#hash.update(`${host}\n${url ?? ""}\n`);
    this.#caller = socket.remoteAddress ?? "";
  }

  update(chunk: Buffer): void {
    this.#hash.update(chunk);
  }

  /** Finishes the digests; may be called only once. */
  build(): RepetitionDigests {
    const content = this.#hash.digest("base64url").slice(
      0,
      CONTENT_DIGEST_CHARACTERS,
    );
    return {
      content: content as ContentDigest,
      caller: callerDigest(this.#caller),
    };
  }
}

function callerDigest(name: string): CallerDigest {
  const digest = createHash("sha256").update(name).digest("base64url");
  return digest.slice(0, CALLER_DIGEST_CHARACTERS) as CallerDigest;
}
