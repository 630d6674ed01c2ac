/**
 * Reads what the platform publishes: the operators' text and the list of VMs.
 *
 * @module
 */
import {
  type ListedVm,
  MAX_CONFIGURATION_BYTES,
  type RegionId,
  type Revision,
} from "@sassafrasstep/core";
import { type Dispatcher, request } from "undici";
import VError from "verror";
import { z } from "zod";
import { createWatchedAgent } from "../clients/index.ts";
import { whileListening } from "../timers/index.ts";

/** How long a watch waits for a newer revision. */
export const WATCH_WAIT_MS = 20_000;
const READ_TIMEOUT_MS = 3_000;
/** A watch, a read of the text and one of the list at the same time. */
const MAX_CONNECTIONS = 4;
const MAX_VM_LIST_BYTES = 8_388_608;
const NOT_MODIFIED = 304;
const OK = 200;

const vmSchema = z.object({
  id: z.string().min(1).max(128).regex(/^[\x21-\x7e]+$/),
  role: z.enum(["entry", "endpoint"]),
  zone: z.string(),
  region: z.string(),
  url: z.string().regex(/^https?:\/\//),
  controlUrl: z.string().optional(),
  pool: z.string(),
  state: z.enum(["live", "leaving"]),
});
/* Brands exist for the type checker only: a checked string is a branded one. */
const vmsSchema = z.object({ vms: z.array(vmSchema) }) as unknown as z.ZodType<
  { vms: ListedVm[] }
>;

/** A text with its revision. */
export interface PublishedText {
  readonly revision: Revision;
  readonly text: string;
}

/** Where the platform's services are. */
export interface PlatformUrls {
  readonly configurationUrl: string;
  readonly vmListUrl: string;
}

/** An answer of the platform that was read to its end. */
interface PlatformAnswer
  extends Pick<Dispatcher.ResponseData, "statusCode" | "headers"> {
  readonly text: string;
}

/** Reads the platform. Each failure is an error that names the service. */
export class PlatformClient {
  readonly #urls: PlatformUrls;
  readonly #stopped = new AbortController();
  // A torn text would be in force, and with peers, under the revision of the whole.
  readonly #connections = createWatchedAgent({
    connections: MAX_CONNECTIONS,
    connectTimeout: READ_TIMEOUT_MS,
    headersTimeout: 0,
  });
  #listTag: string | undefined;

  constructor(urls: PlatformUrls) {
    this.#urls = urls;
  }

  /** The text, or `undefined` where a watch ended with nothing after `after`. */
  async readText(
    after: Revision,
    { wait }: { wait: boolean },
  ): Promise<PublishedText | undefined> {
    const query = wait ? `?after=${after}&wait_ms=${WATCH_WAIT_MS}` : "";
    const url = `${this.#urls.configurationUrl}/v1/text${query}`;
    const timeout = READ_TIMEOUT_MS + (wait ? WATCH_WAIT_MS : 0);
    const { statusCode, headers, text } = await this.#get(url, {
      timeout,
      limit: MAX_CONFIGURATION_BYTES,
    });
    if (statusCode === NOT_MODIFIED) {
      return undefined;
    }
    const revision = Number(headers["x-revision"]);
    if (statusCode !== OK || !Number.isSafeInteger(revision) || revision < 1) {
      throw new VError(
        { name: "PlatformError" },
        'Cannot read the configuration: status %d, revision "%s"',
        statusCode,
        headers["x-revision"],
      );
    }
    return { revision: revision as Revision, text };
  }

  /**
   * VMs that matter to a region: its own, and all entries. `undefined` where the list is as it was:
   * it is large and changes rarely, so it is read with `If-None-Match`.
   */
  async listVms(region: RegionId): Promise<readonly ListedVm[] | undefined> {
    const url = `${this.#urls.vmListUrl}/v1/vms?region=${region}`;
    const headers: Record<string, string> = this.#listTag === undefined
      ? {}
      : { "if-none-match": this.#listTag };
    const response = await this.#get(url, {
      timeout: READ_TIMEOUT_MS,
      limit: MAX_VM_LIST_BYTES,
      headers,
    });
    if (response.statusCode === NOT_MODIFIED) {
      return undefined;
    }
    if (response.statusCode !== OK) {
      throw new VError(
        { name: "PlatformError" },
        "Cannot read the VM list: status %d",
        response.statusCode,
      );
    }
    const { vms } = vmsSchema.parse(JSON.parse(response.text));
    const { etag } = response.headers;
    this.#listTag = typeof etag === "string" ? etag : undefined;
    return vms;
  }

  /** Ends what is waiting. */
  close(): void {
    this.#stopped.abort();
    void this.#connections.destroy();
  }

  #get(
    url: string,
    { timeout, limit, headers = {} }: {
      timeout: number;
      /** Bytes of the answer. */
      limit: number;
      headers?: Record<string, string>;
    },
  ): Promise<PlatformAnswer> {
    return whileListening(timeout, async (listening) => {
      const signal = AbortSignal.any([this.#stopped.signal, listening]);
      const { body, ...head } = await this.#reach(url, { signal, headers });
      return { ...head, text: await readLimited(body, limit) };
    });
  }

  async #reach(
    url: string,
    options: { signal: AbortSignal; headers: Record<string, string> },
  ): Promise<Dispatcher.ResponseData> {
    try {
      return await request(url, { ...options, dispatcher: this.#connections });
    } catch (cause) {
      throw new VError(
        { name: "PlatformError", cause: cause as Error },
        "Cannot reach the platform",
      );
    }
  }
}

async function readLimited(
  body: AsyncIterable<Uint8Array>,
  limit: number,
): Promise<string> {
  const chunks: Uint8Array[] = [];
  let size = 0;
  for await (const chunk of body) {
    size += chunk.length;
    if (size > limit) {
      throw new VError(
        { name: "PlatformError" },
        "Cannot read the platform: more than %d bytes",
        limit,
      );
    }
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString("utf8");
}
