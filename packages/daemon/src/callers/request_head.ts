/**
 * Parses the request line and headers of a caller's request.
 *
 * @module
 */
import type { IncomingHttpHeaders, IncomingMessage } from "node:http";
import {
  milliseconds,
  type RequestHead,
  type RequestId,
  sha256,
} from "@sassafrasstep/core";
import { type Credentials, PEER_HEADER } from "../peers/index.ts";
import type { CallerRequest } from "./caller.ts";
import {
  CLASS_HEADER,
  DEADLINE_HEADER,
  HOP_HEADER,
  OFFSET_HEADER,
  REQUEST_HEADER,
  SERVICE_HEADER,
} from "./headers.ts";

const MAX_HOPS = 8;
const MAX_HEADER_CHARACTERS = 200;
const BEARER_PATTERN = /^Bearer ([\x21-\x7e]{1,512})$/i;
const LAST_EVENT_PATTERN = /^[^:]{1,200}:(\d{1,9})$/;
const REQUEST_ID_PATTERN = /^[A-Za-z0-9._-]{1,128}$/;
const CHAT_PATH_PATTERN = /^\/v1\/(?:models\/([^/?]+)\/)?chat\/completions$/;
const PLAIN_PATH_PATTERN = /^\/v1\/services\/([^/?]+)(\/[^?]*)?$/;

/** Everything that parsing a head needs besides the message. */
export interface HeadContext {
  readonly credentials: Credentials;
  /** Service of chat completion requests that name none. */
  readonly defaultService: string;
  readonly newId: () => RequestId;
}

/** Parses a caller's request; returns `undefined` for an unknown path. */
export function readCallerRequest(
  message: IncomingMessage,
  context: HeadContext,
): CallerRequest | undefined {
  // Concatenated, because a path like "//host/x" resolved against a base URL would name another host.
  const target = `http://entry${message.url ?? "/"}`;
  if (!URL.canParse(target)) {
    return undefined;
  }
  const { pathname, search } = new URL(target);
  const chat = CHAT_PATH_PATTERN.exec(pathname);
  const plain = PLAIN_PATH_PATTERN.exec(pathname);
  if (chat === null && plain === null) {
    return undefined;
  }
  const { headers, method = "GET" } = message;
  const service = plain?.[1] ?? chat?.[1] ??
    headerText(headers, SERVICE_HEADER) ??
    context.defaultService;
  return {
    head: readHead(headers, { ...context, service }),
    kind: chat === null ? "plain" : "chat",
    method,
    path: `${pathname}${search}`,
    endpointPath: chat === null
      ? `${plain![2] ?? "/"}${search}`
      : "/v1/generate",
    authorization: headers.authorization ?? "",
    contentType: headers["content-type"] ?? "application/octet-stream",
  };
}

/** Returns the SHA-256 of the bearer token, which is only compared in this form. */
export function tokenDigest(headers: IncomingHttpHeaders): string | undefined {
  const match = BEARER_PATTERN.exec(headers.authorization ?? "");
  return match === null ? undefined : sha256(match[1]!);
}

function readHead(
  headers: IncomingHttpHeaders,
  { credentials, newId, service }: HeadContext & { service: string },
): RequestHead {
  const forwarded = credentials.verify(headerText(headers, PEER_HEADER));
  const deadline = headerText(headers, DEADLINE_HEADER);
  return {
    id: forwarded ? peerRequestId(headers) ?? newId() : newId(),
    tokenDigest: tokenDigest(headers),
    service,
    requestClass: headerText(headers, CLASS_HEADER),
    deadline: deadline === undefined
      ? undefined
      : milliseconds(Number(deadline)),
    key: headerText(headers, "idempotency-key"),
    hops: (headerText(headers, HOP_HEADER) ?? "").split(",").map((hop) =>
      hop.trim()
    )
      .filter(Boolean).slice(0, MAX_HOPS),
    forwarded,
    resumeOffset: forwarded
      ? toOffset(headerText(headers, OFFSET_HEADER))
      : lastEventOffset(headers),
  };
}

/** Returns the attempt id that a peer set. Must only be used for proved peers: callers must not choose ids. */
function peerRequestId(headers: IncomingHttpHeaders): RequestId | undefined {
  const id = headerText(headers, REQUEST_HEADER);
  return id !== undefined && REQUEST_ID_PATTERN.test(id)
    ? id as RequestId
    : undefined;
}

function lastEventOffset(headers: IncomingHttpHeaders): number {
  return toOffset(
    LAST_EVENT_PATTERN.exec(headerText(headers, "last-event-id") ?? "")?.[1],
  );
}

function toOffset(value: string | undefined): number {
  return /^\d{1,9}$/.test(value ?? "") ? Number(value) : 0;
}

function headerText(
  headers: IncomingHttpHeaders,
  name: string,
): string | undefined {
  const value = headers[name];
  return typeof value === "string"
    ? value.slice(0, MAX_HEADER_CHARACTERS)
    : undefined;
}
