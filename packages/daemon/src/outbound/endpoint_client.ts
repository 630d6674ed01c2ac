/**
 * Control calls to endpoints: load polls and orders.
 *
 * @module
 */
import type { EngineOrder, LoadReport } from "@sassafrasstep/core";
import { Agent, request } from "undici";
import { callTimeout } from "../sockets/index.ts";
import { parseLoadReport } from "./load_report.ts";

const POLL_TIMEOUT_MS = 1_000;
const ORDER_TIMEOUT_MS = 3_000;
const MAX_REPORT_BYTES = 65_536;
const OK = 200;

/** Talks to endpoints beside the requests. */
export class EndpointClient {
  readonly #agent = new Agent({ connections: 1, pipelining: 1 });

  /** An endpoint's load; throws where it does not answer sensibly. */
  async pollLoad(url: string): Promise<LoadReport> {
    const response = await request(`${url}/v1/load`, {
      dispatcher: this.#agent,
      signal: callTimeout(POLL_TIMEOUT_MS),
    });
    const text = (await response.body.text()).slice(0, MAX_REPORT_BYTES);
    const report = response.statusCode === OK
      ? parseLoadReport(text)
      : undefined;
    if (report === undefined) {
      throw new Error(
        `Cannot read a load report: status ${response.statusCode}`,
      );
    }
    return report;
  }

  /** Sends an order; whether the engine took it. */
  async order({ url, model, fence, expected }: EngineOrder): Promise<boolean> {
    const response = await request(`${url}/v1/model`, {
      method: "POST",
      headers: { "content-type": "application/json" },
      body: JSON.stringify({ model, fence, expected }),
      dispatcher: this.#agent,
      signal: callTimeout(ORDER_TIMEOUT_MS),
    });
    await response.body.dump();
    return response.statusCode === OK;
  }

  /** Closes every connection. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }
}
