/**
 * Control calls to endpoints: load polls and orders.
 *
 * @module
 */
import { randomUUID } from "node:crypto";
import type { EngineOrder, LoadReport } from "@sassafrasstep/core";
import { type Agent, request } from "undici";
import { ATTEMPT_HEADER } from "../callers/index.ts";
import { createResetAwareAgent } from "../clients/index.ts";
import { ChunkList, drainBody } from "../sockets/index.ts";
import { withActiveTimeout } from "../timers/index.ts";
import { createSingleUseClient } from "./connections.ts";
import { parseLoadReport } from "./load_report.ts";

const POLL_TIMEOUT_MS = 1_000;
const ORDER_TIMEOUT_MS = 3_000;
const MAX_REPORT_BYTES = 65_536;
const HTTP_OK = 200;

/**
 * Polls endpoints' loads and sends them orders, outside callers' requests. Only polls share connections, and only
 * while answers name their poll: an extra answer must not pass for the acceptance of an order.
 */
export class EndpointClient {
  readonly #pollAgent: Agent = createResetAwareAgent({
    connections: 1,
    connectTimeout: POLL_TIMEOUT_MS,
    nameHeader: ATTEMPT_HEADER,
  });

  /** Reads an endpoint's load; throws if it does not answer with a valid report. */
  pollLoad(url: string): Promise<LoadReport> {
    return withActiveTimeout(
      POLL_TIMEOUT_MS,
      (signal) => this.#pollLoad(url, signal),
    );
  }

  /** Sends an order and returns whether the engine accepted it. */
  sendOrder(order: EngineOrder): Promise<boolean> {
    return withActiveTimeout(
      ORDER_TIMEOUT_MS,
      (signal) => this.#sendOrder(order, signal),
    );
  }

  /** Closes every connection. */
  async close(): Promise<void> {
    await this.#pollAgent.destroy();
  }

  async #pollLoad(url: string, signal: AbortSignal): Promise<LoadReport> {
    const response = await request(`${url}/v1/load`, {
      headers: { [ATTEMPT_HEADER]: randomUUID() },
      dispatcher: this.#pollAgent,
      signal,
    });
    const text = await readReport(response.body);
    const report = response.statusCode === HTTP_OK
      ? parseLoadReport(text)
      : undefined;
    if (report === undefined) {
      throw new Error(
        `Cannot read a load report: status ${response.statusCode}`,
      );
    }
    return report;
  }

  async #sendOrder(
    { url, model, fence, expected }: EngineOrder,
    signal: AbortSignal,
  ): Promise<boolean> {
    const client = createSingleUseClient(url, {
      mayWrite: () => true,
      nameHeader: ATTEMPT_HEADER,
    });
    try {
      const response = await request(`${url}/v1/model`, {
        method: "POST",
        headers: {
          "content-type": "application/json",
          [ATTEMPT_HEADER]: randomUUID(),
        },
        body: JSON.stringify({ model, fence, expected }),
        dispatcher: client,
        signal,
      });
      await drainBody(response.body);
      return response.statusCode === HTTP_OK;
    } finally {
      void client.destroy().catch(() => {});
    }
  }
}

/** Reads a report up to its largest size; the rest of a larger one is not read. */
async function readReport(body: AsyncIterable<Uint8Array>): Promise<string> {
  const chunks = new ChunkList();
  for await (const chunk of body) {
    chunks.add(chunk);
    if (chunks.length > MAX_REPORT_BYTES) {
      throw new Error("Cannot read a load report: it exceeds 64 KiB");
    }
  }
  return chunks.take().toString("utf8");
}
