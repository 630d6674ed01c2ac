/**
 * Sends the attempts that the core has decided on.
 *
 * @module
 */
import type {
  Attempt,
  AttemptEnd,
  AttemptId,
  CoreEvent,
  EndpointId,
  Incarnation,
} from "@sassafrasstep/core";
import { milliseconds, parseVerdictHeader } from "@sassafrasstep/core";
import { type Agent, type Dispatcher, request } from "undici";
import {
  ATTEMPT_HEADER,
  type Caller,
  CLASS_HEADER,
  DEADLINE_HEADER,
  HOP_HEADER,
  OFFSET_HEADER,
  REQUEST_HEADER,
  RETRY_AFTER_MS_HEADER,
  VERDICT_HEADER,
} from "../callers/index.ts";
import { type Credentials, PEER_HEADER } from "../peers/index.ts";
import {
  type Connection,
  createSharedAgent,
  createSingleUseClient,
  isConnectError,
} from "./connections.ts";
import { ChunkList } from "../sockets/index.ts";
import { LOAD_HEADER, parseLoadReport } from "./load_report.ts";
import { relayFrames } from "./relay_frames.ts";

/** Maximum size of an answer that is not a stream. */
export const MAX_ANSWER_BYTES = 4_194_304;
const MILLISECONDS_PER_SECOND = 1_000;
const HTTP_OK = 200;

/** Operations of the entry that the runner needs. */
export interface AttemptHost {
  readonly incarnation: Incarnation;
  readonly credentials: Credentials;
  /** Asks the core, directly before the request is written, whether the attempt may still be sent. */
  commit(attempt: AttemptId): boolean;
  emit(event: CoreEvent): void;
}

/** Runs attempts and reports to the core how they end. */
export class AttemptRunner {
  readonly #host: AttemptHost;
  readonly #endpointAgent: Agent = createSharedAgent(ATTEMPT_HEADER);
  readonly #peerAgent: Agent = createSharedAgent(REQUEST_HEADER);
  readonly #abortControllers = new Map<AttemptId, AbortController>();

  constructor(host: AttemptHost) {
    this.#host = host;
  }

  /** Runs an attempt for a caller until it ends. */
  async run(attempt: Attempt, caller: Caller): Promise<void> {
    const abort = new AbortController();
    this.#abortControllers.set(attempt.id, abort);
    const connection = this.#connect(attempt);
    try {
      if (connection !== undefined) {
        const end = await this.#exchange(attempt, {
          caller,
          connection,
          signal: abort.signal,
        });
        this.#reportEnd(attempt, end);
      }
    } catch (error) {
      const kind = isConnectError(error) ? "unsent" : "lost";
      this.#reportEnd(attempt, { kind, detail: (error as Error).message });
    } finally {
      this.#abortControllers.delete(attempt.id);
      connection?.release();
    }
  }

  /** Closes an attempt's connection. The core has already recorded how the attempt ended. */
  abort(attempt: AttemptId): void {
    this.#abortControllers.get(attempt)?.abort();
  }

  /** Closes every connection. */
  async close(): Promise<void> {
    await Promise.all([
      this.#endpointAgent.destroy(),
      this.#peerAgent.destroy(),
    ]);
  }

  /** Returns a connection, or `undefined` if the core withdrew the attempt. */
  #connect(attempt: Attempt): Connection | undefined {
    const commit = (): boolean => this.#host.commit(attempt.id);
    const toPeer = attempt.target.kind === "peer";
    if (attempt.freshConnection) {
      const client = createSingleUseClient(attempt.target.url, {
        mayWrite: commit,
        nameHeader: toPeer ? REQUEST_HEADER : ATTEMPT_HEADER,
      });
      return {
        dispatcher: client,
        release: () => void client.destroy().catch(() => {}),
      };
    }
    const dispatcher = toPeer ? this.#peerAgent : this.#endpointAgent;
    return commit() ? { dispatcher, release: () => {} } : undefined;
  }

  async #exchange(
    attempt: Attempt,
    { caller, connection, signal }: {
      caller: Caller;
      connection: Connection;
      signal: AbortSignal;
    },
  ): Promise<AttemptEnd> {
    const toPeer = attempt.target.kind === "peer";
    const { request: callerRequest, body } = caller;
    const path = toPeer ? callerRequest.path : callerRequest.endpointPath;
    const method = callerRequest.kind === "chat"
      ? "POST"
      : callerRequest.method;
    const response = await request(`${attempt.target.url}${path}`, {
      method: method as Dispatcher.HttpMethod,
      headers: toPeer
        ? this.#peerHeaders(attempt, caller)
        : this.#endpointHeaders(attempt, caller),
      body: method === "GET" || method === "HEAD" ? null : body,
      dispatcher: connection.dispatcher,
      signal,
    });
    if (attempt.target.kind === "endpoint") {
      this.#reportLoad(attempt.target.endpoint, response.headers[LOAD_HEADER]);
    }
    const isStream = response.statusCode === HTTP_OK &&
      String(response.headers["content-type"]).includes("event-stream");
    if (callerRequest.kind === "chat" && isStream) {
      return await relayFrames(response.body, {
        attempt,
        caller,
        emit: (event) => this.#host.emit(event),
      });
    }
    return await readAnswer(response, { fromPeer: toPeer });
  }

  #reportEnd(attempt: Attempt, end: AttemptEnd): void {
    this.#host.emit({ kind: "attemptEnded", attempt: attempt.id, end });
  }

  #reportLoad(
    endpoint: EndpointId,
    header: string | string[] | undefined,
  ): void {
    const report = typeof header === "string"
      ? parseLoadReport(header)
      : undefined;
    if (report !== undefined) {
      this.#host.emit({ kind: "load", endpoint, report });
    }
  }

  #endpointHeaders(
    attempt: Attempt,
    { request: { head, contentType } }: Caller,
  ): Record<string, string> {
    return {
      "content-type": contentType,
      [ATTEMPT_HEADER]: attempt.id,
      "x-priority": String(attempt.priority),
      "x-resume-offset": String(attempt.resumeOffset),
      [HOP_HEADER]: [...head.hops, this.#host.incarnation].join(", "),
      ...(head.key === undefined ? {} : { "idempotency-key": head.key }),
    };
  }

  #peerHeaders(attempt: Attempt, caller: Caller): Record<string, string> {
    const { head, authorization, contentType } = caller.request;
    return {
      "content-type": contentType,
      authorization,
      [PEER_HEADER]: this.#host.credentials.createProof(),
      [REQUEST_HEADER]: attempt.id,
      [DEADLINE_HEADER]: String(Math.max(1, Math.floor(attempt.timeLeft))),
      [OFFSET_HEADER]: String(attempt.resumeOffset),
      [HOP_HEADER]: [...head.hops, this.#host.incarnation].join(", "),
      ...(head.requestClass === undefined
        ? {}
        : { [CLASS_HEADER]: head.requestClass }),
      ...(head.key === undefined ? {} : { "idempotency-key": head.key }),
    };
  }
}

async function readAnswer(
  { statusCode, headers, body }: Dispatcher.ResponseData,
  { fromPeer }: { fromPeer: boolean },
): Promise<AttemptEnd> {
  const verdictText = headers[VERDICT_HEADER];
  const verdictField = fromPeer
    ? {
      verdict: parseVerdictHeader(
        verdictText === undefined ? undefined : String(verdictText),
      ),
    }
    : {};
  const chunks = new ChunkList();
  for await (const chunk of body as AsyncIterable<Uint8Array>) {
    chunks.add(chunk);
    if (chunks.length > MAX_ANSWER_BYTES) {
      return { kind: "oversize", status: statusCode, ...verdictField };
    }
  }
  const retryAfter = readRetryAfter(headers);
  return {
    kind: "answered",
    answer: {
      status: statusCode,
      contentType: String(
        headers["content-type"] ?? "application/octet-stream",
      ),
      body: chunks.take().toString("base64"),
    },
    ...verdictField,
    ...(retryAfter === undefined
      ? {}
      : { retryAfter: milliseconds(retryAfter) }),
  };
}

function readRetryAfter(
  headers: Dispatcher.ResponseData["headers"],
): number | undefined {
  const exactMs = Number(headers[RETRY_AFTER_MS_HEADER]);
  if (exactMs > 0) {
    return exactMs;
  }
  const seconds = Number(headers["retry-after"]);
  return seconds > 0 ? seconds * MILLISECONDS_PER_SECOND : undefined;
}
