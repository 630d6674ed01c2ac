/**
 * An endpoint that sends exactly the bytes given by a test, and attempts against it.
 *
 * @module
 */
import { once } from "node:events";
import {
  type AddressInfo,
  createServer,
  type Server,
  type Socket,
} from "node:net";
import {
  type AttemptId,
  type CallAttempt,
  type CallHead,
  type CallId,
  type EndpointId,
  type GatewayEffect,
  type GatewayEvent,
  instant,
  milliseconds,
  type RequestId,
} from "@sassafrasstep/core";
import type { AnswerSource } from "../answer_writer.ts";
import { ConnectionPool } from "../connection_pool.ts";
import type { Exchange } from "../exchange.ts";
import { OutboundCall } from "../outbound_call.ts";
import type { EndpointProtocol } from "../protocol.ts";

/** Writes the answer to a request, given as its bytes, to a socket. */
export type RawAnswer = (socket: Socket, request: string) => void;

/** A listening endpoint with the requests that it received. */
export interface RawEndpoint {
  readonly address: string;
  readonly requests: string[];
  connections: number;
  /** Number of open connections. */
  open(): number;
  /** Closes the endpoint's side of every connection. */
  endAll(): void;
  close(): Promise<void>;
}

/** Starts an endpoint that answers each piece of data that it receives. */
export async function listenRaw(answer: RawAnswer): Promise<RawEndpoint> {
  const sockets = new Set<Socket>();
  const requests: string[] = [];
  const server: Server = createServer((socket) => {
    endpoint.connections++;
    sockets.add(socket);
    socket.on("close", () => sockets.delete(socket));
    socket.on("error", () => {});
    socket.on("data", (bytes) => {
      const text = bytes.toString("latin1");
      requests.push(text);
      answer(socket, text);
    });
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const endpoint: RawEndpoint = {
    address: `127.0.0.1:${port}`,
    requests,
    connections: 0,
    open: () => sockets.size,
    endAll: () => sockets.forEach((socket) => socket.end()),
    close: async () => {
      sockets.forEach((socket) => socket.destroy());
      server.close();
      await once(server, "close");
    },
  };
  return endpoint;
}

/** Identifies the call in `x-call`; `x-not-run` guarantees that the request was not executed. */
export const TEST_PROTOCOL: EndpointProtocol = {
  requestHeaders: (_caller, { timeLeft }) => [
    "x-call",
    "c1",
    "x-time",
    String(timeLeft),
  ],
  readHead: (status, headers, { call }) => {
    const valueOf = (name: string): string | undefined => {
      const index = headers.findIndex((item, place) =>
        place % 2 === 0 && item.toLowerCase() === name
      );
      return index < 0 ? undefined : headers[index + 1];
    };
    const echoed = valueOf("x-call");
    return {
      status,
      matches: echoed === undefined || echoed === call,
      notRun: valueOf("x-not-run") !== undefined,
      namesRequest: echoed === call,
      fromEndpoint: true,
      load: undefined,
      retryAfter: undefined,
    };
  },
  healthHeaders: () => [],
  readHealth: () => ({ coldFor: undefined, isProved: true }),
  answerHeaders: (headers) =>
    headers.filter((_, index) =>
      !/^(transfer-encoding|connection)$/i.test(headers[index - index % 2]!)
    ),
};

/** What an attempt reported and forwarded. */
export interface AttemptResult {
  readonly events: GatewayEvent[];
  status: number | undefined;
  body: string;
  ended: boolean;
  /** Lets a slow caller read on. */
  resume: (() => void) | undefined;
}

/** Starts an attempt; `done` resolves when it has ended. */
export function attempt(
  address: string,
  {
    connections,
    streaming = false,
    slow = false,
    body = "",
    maxIdleTime = Infinity,
    decide,
  }: {
    connections: ConnectionPool;
    streaming?: boolean;
    /** Whether the caller stops reading after the first bytes until `seen.resume` is called. */
    slow?: boolean;
    body?: string;
    maxIdleTime?: number;
    /**
     * Effects with which the gateway responds to an event. By default, requests are sent and answers
     * forwarded.
     */
    decide?: (event: GatewayEvent) => GatewayEffect[];
  },
): { seen: AttemptResult; done: Promise<AttemptResult>; call: OutboundCall } {
  const seen: AttemptResult = {
    events: [],
    status: undefined,
    body: "",
    ended: false,
    resume: undefined,
  };
  const head = {
    id: "r1" as RequestId,
    call: "c1" as CallId,
    target: "/x",
  } as CallHead;
  const exchange = {
    head,
    body: Buffer.from(body),
    method: body === "" ? "GET" : "POST",
    rawHeaders: [],
    begin: (status: number) => seen.status = status,
    openWriter: (source: AnswerSource) => ({
      write: (bytes: Buffer) => {
        const full = slow && seen.body === "";
        seen.body += bytes.toString();
        if (full) {
          source.pause();
          seen.resume = () => source.resume();
        }
      },
      close: () => {},
    }),
    respond: (status: number, { body: bytes }: { body: Buffer }) => {
      seen.status = status;
      seen.body += bytes.toString();
    },
  } as unknown as Exchange;
  const planned: CallAttempt = {
    id: "a1" as AttemptId,
    request: "r1" as RequestId,
    target: {
      kind: "endpoint",
      endpoint: "e1" as EndpointId,
      address,
      connections: 4,
      urgency: undefined,
      prefixFrom: undefined,
    },
    streaming,
    maxIdleTime: milliseconds(maxIdleTime),
    resumeAfter: undefined,
  };
  let finish!: (seen: AttemptResult) => void;
  const done = new Promise<AttemptResult>((resolve) => finish = resolve);
  const call = new OutboundCall(planned, {
    exchange,
    context: {
      incarnation: "n1",
      protocol: TEST_PROTOCOL,
      connections,
      now: () => instant(performance.now()),
      onDone: () => {
        seen.ended = true;
        setImmediate(() => finish(seen));
      },
      dispatch: (event) => {
        seen.events.push(event);
        return (decide ?? decideDefault)(event);
      },
    },
  });
  call.start();
  return { seen, done, call };
}

/** Sends each request, and forwards each answer but refusals. */
export function decideDefault(event: GatewayEvent): GatewayEffect[] {
  if (event.kind === "commit") {
    return [{
      kind: "proceed",
      attempt: event.attempt,
      timeLeft: milliseconds(1_000),
    }];
  }
  return event.kind === "answered" && !event.answer.notRun
    ? [{ kind: "forward", attempt: event.attempt }]
    : [];
}

/** Returns the kind of end that the gateway was told, or `none`. */
export function endKindOf({ events }: AttemptResult): string {
  const ended = events.find((event) => event.kind === "ended");
  return ended?.kind === "ended" ? ended.end.kind : "none";
}
