/**
 * Calls to other entries' control addresses.
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
import { Agent, request } from "undici";
import { whileListening } from "../timers/index.ts";
import { type Credentials, PEER_HEADER } from "./credentials.ts";
import type { PeerRouter } from "./router.ts";
import { configurationCopySchema, heartbeatReplySchema } from "./schemas.ts";
import { encodeHeartbeat } from "./wire.ts";

/** A peer that does not answer within this time counts as not answering. */
export const PEER_TIMEOUT_MS = 1_500;
/** Clients kept; more than the peers that one entry talks to. */
const MAX_CLIENTS = 64;
const FIRST_ERROR_STATUS = 400;

/** Makes and keeps a client for each control address. */
export class PeerClients {
  readonly #clients = new Map<string, TRPCClient<PeerRouter>>();
  readonly #agent = new Agent({
    connections: 1,
    pipelining: 1,
    keepAliveTimeout: 30_000,
  });
  readonly #credentials: Credentials;

  constructor(credentials: Credentials) {
    this.#credentials = credentials;
  }

  /** The client of a control address. */
  at(url: string): TRPCClient<PeerRouter> {
    const known = this.#clients.get(url);
    if (known !== undefined) {
      return known;
    }
    const client = this.#create(url);
    this.#clients.set(url, client);
    if (this.#clients.size > MAX_CLIENTS) {
      this.#clients.delete(this.#clients.keys().next().value!);
    }
    return client;
  }

  /** Closes every connection. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  /** Sends without what a browser would add: half a heartbeat's bytes were headers that nobody reads. */
  #send(
    url: string,
    { method, headers, body }: PeerRequest,
  ): Promise<PeerResponse> {
    return whileListening(PEER_TIMEOUT_MS, async (signal) => {
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
        headers: () => ({ [PEER_HEADER]: this.#credentials.prove() }),
        fetch: (url, init) => this.#send(String(url), init as PeerRequest),
      })],
    });
  }
}

/** What tRPC hands to its `fetch`. */
interface PeerRequest {
  readonly method: "GET" | "POST";
  readonly headers: Record<string, string>;
  readonly body?: string;
}

/** What tRPC takes back from it. */
interface PeerResponse {
  readonly ok: boolean;
  readonly status: number;
  json(): Promise<unknown>;
}

/** Sends a heartbeat; an answer of another shape is an error. */
export async function sendHeartbeat(
  client: TRPCClient<PeerRouter>,
  heartbeat: Heartbeat,
): Promise<HeartbeatReply> {
  const reply = await client.heartbeat.mutate(encodeHeartbeat(heartbeat));
  return heartbeatReplySchema.parse(reply);
}

/** Asks for the text; `undefined` where the peer has nothing newer. */
export async function copyConfiguration(
  client: TRPCClient<PeerRouter>,
  have: Revision,
): Promise<ConfigurationCopy | undefined> {
  return configurationCopySchema.parse(
    await client.configuration.query(have),
  ) ?? undefined;
}
