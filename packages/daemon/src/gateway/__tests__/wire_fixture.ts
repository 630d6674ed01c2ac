/**
 * An endpoint that says exactly the bytes that a test gives it, and an attempt against it.
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
import { Connections } from "../connections.ts";
import type { Exchange } from "../exchange.ts";
import { OutboundCall } from "../outbound_call.ts";
import type { EndpointProtocol } from "../protocol.ts";

/** Answers one request, given its bytes, on a socket. */
export type RawAnswer = (socket: Socket, request: string) => void;

/** A listening endpoint. */
export interface RawEndpoint {
  readonly address: string;
  readonly requests: string[];
  connections: number;
  /** Connections that are open. */
  open(): number;
  /** Ends its side of each. */
  endAll(): void;
  close(): Promise<void>;
}

/** Listens and answers each whole request head. */
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

/** Names the call in `x-call`; `x-not-run` vouches. */
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
      fromEndpoint: true,
      load: undefined,
      retryAfter: undefined,
    };
  },
  answerHeaders: (headers) =>
    headers.filter((_, index) =>
      !/^(transfer-encoding|connection)$/i.test(headers[index - index % 2]!)
    ),
};

/** What came of one attempt. */
export interface Seen {
  readonly events: GatewayEvent[];
  status: number | undefined;
  body: string;
  ended: boolean;
  /** The caller has room again. */
  resume: (() => void) | undefined;
}

/** Runs one attempt to its end. */
export function attempt(
  address: string,
  {
    connections,
    streaming = false,
    slow = false,
    body = "",
    mostIdle = Infinity,
    judge,
  }: {
    connections: Connections;
    streaming?: boolean;
    /** Whether the caller has no room for more after the first bytes, until `seen.resume` is called. */
    slow?: boolean;
    body?: string;
    mostIdle?: number;
    /** What the gateway says to an answer; it is passed on by default. */
    judge?: (event: GatewayEvent) => GatewayEffect[];
  },
): { seen: Seen; done: Promise<Seen>; call: OutboundCall } {
  const seen: Seen = {
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
          source.hold();
          seen.resume = () => source.release();
        }
      },
      close: () => {},
    }),
    answer: (status: number, { body: bytes }: { body: Buffer }) => {
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
    maxIdleTime: milliseconds(mostIdle),
    resumeAfter: undefined,
  };
  let finish!: (seen: Seen) => void;
  const done = new Promise<Seen>((resolve) => finish = resolve);
  const call = new OutboundCall(planned, {
    exchange,
    tools: {
      incarnation: "n1",
      protocol: TEST_PROTOCOL,
      connections,
      now: () => instant(performance.now()),
      done: () => {
        seen.ended = true;
        setImmediate(() => finish(seen));
      },
      tell: (event) => {
        seen.events.push(event);
        return (judge ?? defaultJudge)(event);
      },
    },
  });
  call.start();
  return { seen, done, call };
}

function defaultJudge(event: GatewayEvent): GatewayEffect[] {
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

/** The end that the gateway was told. */
export function endOf({ events }: Seen): string {
  const ended = events.find((event) => event.kind === "ended");
  return ended?.kind === "ended" ? ended.end.kind : "none";
}
