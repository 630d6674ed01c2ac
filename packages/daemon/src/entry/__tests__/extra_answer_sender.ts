/**
 * A faulty server that sends the answer to each request twice.
 *
 * @module
 */
import type { Socket } from "node:net";
import type { EndpointScript } from "./entry_fixture.ts";

/** When the copy of an answer is sent. */
export type CopyTime = "at once" | "later" | "with the next request";

/** What a request does at the server. `refused` means that it does not run. */
export type Result = "refused" | "ran";

/** One request as the server sees it. */
export interface ServedRequest {
  /** The body of its own answer, which no other answer has. */
  readonly own: string;
  readonly script: EndpointScript;
  /** Number of its attempts that ran. */
  runs: number;
  /** Number of its attempts that arrived. */
  attempts: number;
}

/** Settings of an `ExtraAnswerSender`. */
export interface ExtraAnswerOptions {
  /** When copies are sent; `undefined` for a server without the fault. */
  readonly copies: CopyTime | undefined;
  /** Header in which answers name their attempt; `undefined` if they do not. */
  readonly nameHeader: string | undefined;
  /** Status of refusals. */
  readonly refusal: number;
  /** Whether the server is an entry, which states verdicts. */
  readonly isPeer?: boolean;
  /** Length to which copies are cut; a copy is complete without it. */
  readonly cutTo?: number;
}

/** Time between a request and its answer, within which a late copy arrives. */
const ANSWER_DELAY_MS = 12;
const COPY_DELAY_MS = 5;
const STATUS_RAN = 200;

/** Answers requests and repeats each answer once on its connection. */
export class ExtraAnswerSender {
  /** Connections that carried a request. */
  readonly sockets = new Set<Socket>();
  /** Number of requests that met the copy of an earlier answer on their connection. */
  metCopies = 0;
  readonly #options: ExtraAnswerOptions;
  readonly #copies = new WeakMap<Socket, string>();

  constructor(options: ExtraAnswerOptions) {
    this.#options = options;
  }

  /** Returns a request that has the given result at each attempt. */
  request(own: string, result: Result): ServedRequest {
    const served: ServedRequest = {
      own,
      runs: 0,
      attempts: 0,
      script: (socket, { id }) => {
        served.attempts++;
        served.runs += result === "ran" ? 1 : 0;
        this.#answer(socket, this.#bytesOf(own, { result, id }));
      },
    };
    return served;
  }

  #answer(socket: Socket, bytes: string): void {
    const { copies, cutTo } = this.#options;
    this.sockets.add(socket);
    const copy = this.#copies.get(socket);
    if (copies !== undefined && copy !== undefined) {
      this.metCopies++;
    }
    if (copies === "with the next request" && copy !== undefined) {
      socket.write(copy);
    }
    this.#copies.set(socket, bytes.slice(0, cutTo));
    setTimeout(() => {
      socket.write(copies === "at once" ? bytes + bytes : bytes);
      if (copies === "later") {
        setTimeout(() => socket.write(bytes), COPY_DELAY_MS);
      }
    }, ANSWER_DELAY_MS);
  }

  #bytesOf(
    own: string,
    { result, id }: { result: Result; id: string },
  ): string {
    const { nameHeader, refusal, isPeer } = this.#options;
    const ran = result === "ran";
    const verdict = ran ? "ran" : "not_run";
    return [
      ran ? `HTTP/1.1 ${STATUS_RAN} OK` : `HTTP/1.1 ${refusal} Refused`,
      "content-type: application/json",
      ...(isPeer === true ? [`sassafrasstep-verdict: ${verdict}`] : []),
      ...(nameHeader === undefined ? [] : [`${nameHeader}: ${id}`]),
      `content-length: ${own.length}`,
      "",
      own,
    ].join("\r\n");
  }
}
