/**
 * A health check of an endpoint.
 *
 * @module
 */
import type { IncomingHttpHeaders } from "node:http";
import type { GatewayEffect, GatewayEvent, Instant } from "@sassafrasstep/core";
import type { Dispatcher } from "undici";
import { isFramed } from "../sockets/index.ts";
import { afterPoll } from "../timers/index.ts";
import {
  ConnectError,
  type Connection,
  type ConnectionPool,
} from "./connection_pool.ts";
import type { EndpointProtocol, HealthAnswer } from "./protocol.ts";
import { decodeHeaders } from "./raw_headers.ts";

/** An endpoint that has no place for the check answers later than its state is of use. */
const CHECK_TIMEOUT_MS = 300;
const MAX_BODY_BYTES = 16_384;
const MAX_IDLE_MS = 1_000;

/** What health checks need from the entry. */
export interface HealthCheckContext {
  readonly protocol: EndpointProtocol;
  readonly connections: ConnectionPool;
  readonly now: () => Instant;
  readonly dispatch: (event: GatewayEvent) => void;
}

/** Asks an endpoint for its health and reports how long it stays cold. A check without an answer reports nothing. */
export class HealthCheck implements Dispatcher.DispatchHandler {
  readonly #check: Extract<GatewayEffect, { kind: "checkHealth" }>;
  readonly #context: HealthCheckContext;
  #connection: Connection | undefined;
  #answer: HealthAnswer | undefined;
  #bodyBytes = 0;
  #finished = false;
  readonly #cancelTimeout = afterPoll(CHECK_TIMEOUT_MS, () => this.#fail());

  constructor(
    check: Extract<GatewayEffect, { kind: "checkHealth" }>,
    context: HealthCheckContext,
  ) {
    this.#check = check;
    this.#context = context;
  }

  start(): void {
    const { address, connections: limit } = this.#check;
    this.#context.connections.acquire(
      { address, limit, maxIdleTime: MAX_IDLE_MS, crossRegion: false },
      this.#context.now(),
      (result) => this.#onConnected(result),
    );
  }

  onRequestStart(): void {
    // The timeout closes the connection, so that no controller is needed.
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
    parsedHeaders: IncomingHttpHeaders,
  ): void {
    this.#connection!.closeDelimited = !isFramed(parsedHeaders);
    const headers = decodeHeaders(controller.rawHeaders as Buffer[]);
    this.#answer = this.#context.protocol.readHealth(
      status,
      headers,
      this.#check.endpoint,
    );
  }

  onResponseData(_controller: unknown, chunk: Buffer): void {
    this.#connection!.addBody(chunk.length);
    this.#bodyBytes += chunk.length;
    if (this.#bodyBytes > MAX_BODY_BYTES) {
      this.#fail();
    }
  }

  onResponseEnd(): void {
    if (this.#connection!.isCutOff) {
      return this.#fail();
    }
    if (this.#finish()) {
      const { connections, now } = this.#context;
      if (this.#answer?.isProved === true) {
        connections.release(this.#connection!, now());
      } else {
        this.#connection!.close();
      }
      this.#report();
    }
  }

  onResponseError(): void {
    this.#fail();
  }

  #onConnected(result: Connection | ConnectError): void {
    if (result instanceof ConnectError) {
      this.#finish();
    } else if (this.#finished) {
      this.#context.connections.release(result, this.#context.now());
    } else {
      this.#connection = result;
      result.beginAnswer();
      result.client.dispatch({
        path: this.#check.path,
        method: "GET",
        headers: this.#context.protocol.healthHeaders(this.#check.endpoint),
      }, this);
    }
  }

  #report(): void {
    const { endpoint, life } = this.#check;
    const coldFor = this.#answer?.coldFor;
    if (coldFor !== undefined) {
      this.#context.dispatch({
        kind: "healthChecked",
        endpoint,
        life,
        coldFor,
      });
    }
  }

  #fail(): void {
    if (this.#finish()) {
      this.#connection?.close();
    }
  }

  /** Returns whether the check was still under way. */
  #finish(): boolean {
    const wasOpen = !this.#finished;
    this.#finished = true;
    this.#cancelTimeout();
    return wasOpen;
  }
}
