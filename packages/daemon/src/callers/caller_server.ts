/**
 * The HTTP server for callers.
 *
 * @module
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { EntryList, RequestId, ServiceId } from "@sassafrasstep/core";
import { H3, type H3Event } from "h3";
import { toNodeHandler } from "h3/node";
import type { Credentials } from "../peers/index.ts";
import { RequestSequence, withValidUrl } from "../sockets/index.ts";
import { closeIdleAfterPoll } from "../timers/index.ts";
import { Caller, type CallerEvents } from "./caller.ts";
import { readCallerRequest, tokenDigest } from "./request_head.ts";

const MAX_HEADER_BYTES = 16_384;
/** Callers that send their headers more slowly are disconnected. */
const HEAD_TIMEOUT_MS = 10_000;
/** Callers that send their whole request more slowly are disconnected. */
const REQUEST_TIMEOUT_MS = 60_000;
const MILLISECONDS_PER_SECOND = 1_000;

/** Operations of an entry that the caller server needs. */
export interface CallerService extends CallerEvents {
  readonly credentials: Credentials;
  defaultChatService(): string;
  newRequestId(): RequestId;
  /** Starts to process a request; its answer is sent through `caller`. */
  open(caller: Caller): void;
  /** Returns the entries for the customer of a token, or `undefined` if no customer has it. */
  listEntries(
    tokenDigest: string | undefined,
    service: ServiceId | undefined,
  ): EntryList | undefined;
}

/** Creates the server, which does not listen yet. */
export function createCallerServer(service: CallerService): Server {
  const app = new H3();
  app.get("/v1/entries", ({ req, url }) => {
    const authorization = req.headers.get("authorization") ?? "";
    return answerEntries(service, {
      authorization,
      serviceName: url.searchParams.get("service"),
    });
  });
  app.all("/**", (event) => answerRequest(service, event));
  const server = createServer(
    { maxHeaderSize: MAX_HEADER_BYTES },
    new RequestSequence().wrap(withValidUrl(toNodeHandler(app))),
  );
  server.headersTimeout = HEAD_TIMEOUT_MS;
  server.requestTimeout = REQUEST_TIMEOUT_MS;
  closeIdleAfterPoll(server);
  // With "Expect: 100-continue" the body is requested only after the head was admitted.
  server.on(
    "checkContinue",
    (message: IncomingMessage, reply: ServerResponse) => {
      expectingContinue.add(message);
      server.emit("request", message, reply);
    },
  );
  return server;
}

const expectingContinue = new WeakSet<IncomingMessage>();

async function answerRequest(
  service: CallerService,
  event: H3Event,
): Promise<Response> {
  const node = event.runtime!.node!;
  const message = node.req as IncomingMessage;
  const reply = node.res as ServerResponse;
  const request = readCallerRequest(message, {
    credentials: service.credentials,
    defaultService: service.defaultChatService(),
    newId: () => service.newRequestId(),
  });
  if (request === undefined) {
    return new Response("Not found\n", {
      status: 404,
      headers: { connection: "close" },
    });
  }
  const requestBody = (): void => {
    if (expectingContinue.has(message)) {
      reply.writeContinue();
    }
  };
  const caller = new Caller(request, {
    message,
    reply,
    events: service,
    requestBody,
    wallClockMs: Date.now(),
  });
  service.open(caller);
  return await caller.response;
}

function answerEntries(
  service: CallerService,
  { authorization, serviceName }: {
    authorization: string;
    serviceName: string | null;
  },
): Response {
  const list = service.listEntries(
    tokenDigest({ authorization }),
    (serviceName ?? undefined) as ServiceId | undefined,
  );
  if (list === undefined) {
    return new Response(
      JSON.stringify({ title: "unknown customer", status: 401 }),
      {
        status: 401,
        headers: { "content-type": "application/problem+json" },
      },
    );
  }
  const body = {
    entries: list.entries.map(({ id, url, region, zone, ownerToken }) => ({
      id,
      url,
      region,
      zone,
      owner_token: ownerToken,
    })),
    holds_for_ms: list.validFor,
  };
  const maxAge = Math.floor(list.validFor / MILLISECONDS_PER_SECOND);
  return new Response(JSON.stringify(body), {
    headers: {
      "content-type": "application/json",
      "cache-control": `private, max-age=${maxAge}`,
    },
  });
}
