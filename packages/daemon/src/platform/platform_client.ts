/**
 * Reads what the platform publishes: the operators' configuration and the list of VMs.
 *
 * @module
 */
import {
  type ListedVm,
  MAX_CONFIGURATION_BYTES,
  MAX_SERVICE_REVISIONS,
  type RegionId,
  type ServiceRevision,
} from "@sassafrasstep/core";
import { type Dispatcher, request } from "undici";
import VError from "verror";
import { z } from "zod";
import { createResetAwareAgent } from "../clients/index.ts";
import { ChunkList } from "../sockets/index.ts";
import { withActiveTimeout } from "../timers/index.ts";

/** Time for which a watch waits for a newer revision. */
export const WATCH_WAIT_MS = 20_000;
const READ_TIMEOUT_MS = 3_000;
/** Exceeds the three simultaneous requests: a watch, a read of the configuration and one of the VM list. */
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
/* The cast adds branded types, which exist only for the type checker: a validated string has its brand. */
const vmsSchema = z.object({ vms: z.array(vmSchema) }) as unknown as z.ZodType<
  { vms: ListedVm[] }
>;

/** A configuration with its revision. */
export interface PublishedConfiguration {
  readonly revision: ServiceRevision;
  readonly text: string;
}

/** URLs of the platform's services. */
export interface PlatformUrls {
  readonly configurationUrl: string;
  readonly vmListUrl: string;
}

/** A complete answer of the platform. */
interface PlatformAnswer
  extends Pick<Dispatcher.ResponseData, "statusCode" | "headers"> {
  readonly text: string;
}

/** Reads from the platform's services. Failed requests throw errors that say what could not be read. */
export class PlatformClient {
  readonly #urls: PlatformUrls;
  readonly #closeController = new AbortController();
  // Detects truncated answers. A truncated configuration would be put into force, and copied to peers, under
  // the revision of the complete one.
  readonly #agent = createResetAwareAgent({
    connections: MAX_CONNECTIONS,
    connectTimeout: READ_TIMEOUT_MS,
    headersTimeout: 0,
  });
  #vmListEtag: string | undefined;

  constructor(urls: PlatformUrls) {
    this.#urls = urls;
  }

  /** Reads the configuration; returns `undefined` if a watch ended without a revision newer than `after`. */
  async readConfiguration(
    after: ServiceRevision,
    { wait }: { wait: boolean },
  ): Promise<PublishedConfiguration | undefined> {
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
    if (statusCode !== OK || !isServiceRevision(revision)) {
      throw new VError(
        { name: "PlatformError" },
        'Cannot read the configuration: status %d, revision "%s"',
        statusCode,
        headers["x-revision"],
      );
    }
    return { revision: revision as ServiceRevision, text };
  }

  /**
   * Reads the VMs that are relevant to a region: its own, and all entries. Returns `undefined` if the list has
   * not changed. It is large and changes rarely, so it is requested with `If-None-Match`.
   */
  async listVms(region: RegionId): Promise<readonly ListedVm[] | undefined> {
    const url = `${this.#urls.vmListUrl}/v1/vms?region=${region}`;
    const headers: Record<string, string> = this.#vmListEtag === undefined
      ? {}
      : { "if-none-match": this.#vmListEtag };
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
    this.#vmListEtag = typeof etag === "string" ? etag : undefined;
    return vms;
  }

  /** Aborts pending requests and closes every connection. */
  close(): void {
    this.#closeController.abort();
    void this.#agent.destroy();
  }

  #get(
    url: string,
    { timeout, limit, headers = {} }: {
      timeout: number;
      /** Maximum size of the answer in bytes. */
      limit: number;
      headers?: Record<string, string>;
    },
  ): Promise<PlatformAnswer> {
    return withActiveTimeout(timeout, async (listening) => {
      const signal = AbortSignal.any([this.#closeController.signal, listening]);
      const { body, ...head } = await this.#request(url, { signal, headers });
      return { ...head, text: await readLimited(body, limit) };
    });
  }

  async #request(
    url: string,
    options: { signal: AbortSignal; headers: Record<string, string> },
  ): Promise<Dispatcher.ResponseData> {
    try {
      return await request(url, { ...options, dispatcher: this.#agent });
    } catch (cause) {
      throw new VError(
        { name: "PlatformError", cause: cause as Error },
        "Cannot reach the platform",
      );
    }
  }
}

function isServiceRevision(revision: number): boolean {
  return Number.isSafeInteger(revision) && revision >= 1 &&
    revision < MAX_SERVICE_REVISIONS;
}

async function readLimited(
  body: AsyncIterable<Uint8Array>,
  limit: number,
): Promise<string> {
  const chunks = new ChunkList();
  for await (const chunk of body) {
    chunks.add(chunk);
    if (chunks.length > limit) {
      throw new VError(
        { name: "PlatformError" },
        "Cannot read the platform: more than %d bytes",
        limit,
      );
    }
  }
  return chunks.take().toString("utf8");
}
