/**
 * Client for the control addresses of other entries.
 *
 * @module
 */
import type {
  ConfigurationCopy,
  Heartbeat,
  HeartbeatReply,
  Revision,
} from "@sassafrasstep/core";
import { createTRPCClient, httpLink, type TRPCClient } from "@trpc/client";
import { type Agent, request } from "undici";
import { createResetAwareAgent } from "../clients/index.ts";
import { withActiveTimeout } from "../timers/index.ts";
import { type Credentials, PEER_HEADER } from "./credentials.ts";
import type { PeerRouter } from "./router.ts";
import { configurationCopySchema, heartbeatReplySchema } from "./schemas.ts";
import { encodeHeartbeat } from "./heartbeat_encoding.ts";

/** Timeout for a peer's answer. */
export const PEER_TIMEOUT_MS = 1_500;
/** Size of the client cache, which is larger than the number of peers that an entry calls. */
const MAX_CACHED_CLIENTS = 64;
const FIRST_ERROR_STATUS = 400;

/** Creates and caches a client for each control address. */
export class PeerClients {
  readonly #clients = new Map<string, TRPCClient<PeerRouter>>();
  readonly #agent: Agent = createResetAwareAgent({
    connections: 1,
    connectTimeout: PEER_TIMEOUT_MS,
    keepAliveTimeout: 30_000,
  });
  readonly #credentials: Credentials;

  constructor(credentials: Credentials) {
    this.#credentials = credentials;
  }

  /** Returns the client for a control address. */
  at(url: string): TRPCClient<PeerRouter> {
    const cached = this.#clients.get(url);
    if (cached !== undefined) {
      return cached;
    }
    const client = this.#create(url);
    this.#clients.set(url, client);
    if (this.#clients.size > MAX_CACHED_CLIENTS) {
      this.#clients.delete(this.#clients.keys().next().value!);
    }
    return client;
  }

  /** Closes every connection. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  /** Sends a request without the headers that `fetch` adds: they made up half of a heartbeat, unused. */
  #send(
    url: string,
    { method, headers, body }: PeerRequest,
  ): Promise<PeerResponse> {
    return withActiveTimeout(PEER_TIMEOUT_MS, async (signal) => {
      const { statusCode, body: answer } = await request(url, {
        method,
        headers,
        body: body ?? null,
        dispatcher: this.#agent,
        signal,
      });
      const json = await answer.json();
      return {
        ok: statusCode < FIRST_ERROR_STATUS,
        status: statusCode,
        json: () => Promise.resolve(json),
      };
    });
  }

  #create(url: string): TRPCClient<PeerRouter> {
    return createTRPCClient<PeerRouter>({
      links: [httpLink({
        url: `${url}/trpc`,
        headers: () => ({ [PEER_HEADER]: this.#credentials.createProof() }),
        fetch: (url, init) => this.#send(String(url), init as PeerRequest),
      })],
    });
  }
}

/** The options that tRPC passes to its `fetch` function. */
interface PeerRequest {
  readonly method: "GET" | "POST";
  readonly headers: Record<string, string>;
  readonly body?: string;
}

/** The part of a `fetch` response that tRPC reads. */
interface PeerResponse {
  readonly ok: boolean;
  readonly status: number;
  json(): Promise<unknown>;
}

/** Sends a heartbeat; throws if the answer is malformed. */
export async function sendHeartbeat(
  client: TRPCClient<PeerRouter>,
  heartbeat: Heartbeat,
): Promise<HeartbeatReply> {
  const reply = await client.heartbeat.mutate(encodeHeartbeat(heartbeat));
  return heartbeatReplySchema.parse(reply);
}

/** Requests the configuration; returns `undefined` if the peer has no newer revision than `have`. */
export async function copyConfiguration(
  client: TRPCClient<PeerRouter>,
  have: Revision,
): Promise<ConfigurationCopy | undefined> {
  return configurationCopySchema.parse(
    await client.configuration.query(have),
  ) ?? undefined;
}
