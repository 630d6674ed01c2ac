/**
 * Runs entries whose endpoints answer with exactly the bytes that a test scripts.
 *
 * @module
 */
import { createServer, type Server } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { sha256 } from "@sassafrasstep/core";
import { request } from "undici";
import {
  listenRaw,
  type RawEndpoint,
} from "../../gateway/__tests__/wire_fixture.ts";
import { OFFSET_HEADER, REQUEST_HEADER } from "../../callers/index.ts";
import { Credentials, PEER_HEADER } from "../../peers/index.ts";
import { parseSettings } from "../../settings/index.ts";
import { Entry } from "../entry.ts";
import { type LogLine, RecordingLogger } from "./recording_logger.ts";

/** An attempt as the endpoint receives it. */
export interface ReceivedAttempt {
  /** Attempt id, which every frame of the answer carries. */
  readonly id: string;
  /** 1 for the first attempt of its request. */
  readonly number: number;
  /** Offset of the first token that the attempt requests. */
  readonly startAt: number;
}

/** Writes an endpoint's answer to one attempt. */
export type EndpointScript = (
  socket: Socket,
  attempt: ReceivedAttempt,
) => unknown;

const TOKEN = "fixture-token";
const SECRET = "fixture-secret-0123456789";
const LOAD_REPORT = JSON.stringify({
  running: 0,
  slots: 1_000,
  prefill_rate: 10_000,
  hold_ms: 10,
  model: "small@v1",
});
const LOAD_ANSWER =
  `HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: ${LOAD_REPORT.length}\r\n\r\n${LOAD_REPORT}`;
const CONFIGURATION = `
[deployment]
name = wire
objective = tail
loads_per_minute = 6
spill_limit = 1

[region north]
zones = north-a

[region south]
zones = south-a

[service pool]
kind = model
model = small@v1
pool = pool
regions = north, south
class = screen
deadline_ms = 15000
queue_limit = 1024

[service notes]
kind = plain
repeatable = yes
not_run_statuses = 429, 503
regions = north, south
deadline_ms = 5000

[service badges]
kind = plain
repeatable = no
not_run_statuses = 429, 503
regions = north, south
deadline_ms = 5000

[customer desk]
home = north
bound = no
token_sha256 = ${sha256(TOKEN)}
requests_per_s = 100000
`;

/** Starts scripted endpoints, a stub platform and one or more entries, and sends them requests. */
export class EntryFixture {
  readonly #scripts = new Map<string, EndpointScript>();
  readonly #endpoints: RawEndpoint[] = [];
  readonly #logger = new RecordingLogger();
  #platform!: Server;
  #platformUrl = "";
  #scriptCount = 0;
  readonly #entries: Entry[] = [];
  /** Caller URLs of the entries, in the order of their start. */
  readonly urls: string[] = [];

  /** Info lines that the entries have logged. */
  get lines(): readonly LogLine[] {
    return this.#logger.lines;
  }

  /** Metrics of the first entry, in the Prometheus text format. */
  get metrics(): string {
    return this.#entries[0]!.prometheus();
  }

  /** Starts the platform, the given number of endpoints per pool, and entries; waits until all are ready. */
  async start(
    pools: Readonly<Record<string, number>>,
    { entries = 1, remoteUrl }: {
      entries?: number;
      /** Places all endpoints in another region, behind an extra entry that advertises this URL. */
      remoteUrl?: string;
    } = {},
  ): Promise<void> {
    const region = remoteUrl === undefined ? "north" : "south";
    const vms: { id: string }[] = [];
    for (const [pool, count] of Object.entries(pools)) {
      for (let index = 0; index < count; index++) {
        const endpoint = await listenRaw((socket, text) =>
          this.#answer(socket, text)
        );
        this.#endpoints.push(endpoint);
        const url = `http://${endpoint.address}`;
        const id = `${pool}-${index}`;
        const location = { zone: `${region}-a`, region };
        const vm = {
          id,
          role: "endpoint",
          pool,
          url,
          state: "live",
          ...location,
        };
        vms.push(vm);
      }
    }
    await this.#startPlatform(JSON.stringify({ vms }));
    for (let number = 1; number <= entries; number++) {
      await this.#startEntry({ number });
    }
    if (remoteUrl !== undefined) {
      await this.#startEntry({ number: entries + 1, remoteUrl });
    }
    await waitUntil(() =>
      this.#entries.every((entry, index) => {
        const { endpoints, phase, members } = entry.status();
        const known = endpoints.filter(({ state }) => state === "live").length;
        const isRemote = index >= entries;
        const knowsAll = remoteUrl === undefined || isRemote
          ? known === vms.length
          : members.some(({ health }) => health === "live");
        return phase === "ready" && knowsAll;
      })
    );
  }

  async stop(): Promise<void> {
    this.#entries.forEach((entry) => entry.stop());
    await Promise.all(this.#entries.map(({ stopped }) => stopped));
    await Promise.all(this.#endpoints.map((endpoint) => endpoint.close()));
    this.#platform.closeAllConnections();
    this.#platform.close();
  }

  /** Registers a script and returns its name; a request whose body contains the name is answered by it. */
  script(script: EndpointScript): string {
    this.#scriptCount++;
    const name = `case-${this.#scriptCount}-`;
    this.#scripts.set(name, script);
    return name;
  }

  /** Sends a chat completion request and reads the answer until it ends or breaks. */
  async chat(
    script: EndpointScript,
    { stream = true, headers = {}, entry = 0, onName }: {
      /** Receives the script's name before the request is sent. */
      onName?: (name: string) => void;
      stream?: boolean;
      headers?: Record<string, string>;
      /** Index of the entry that receives the request. */
      entry?: number;
    } = {},
  ): Promise<CallerAnswer> {
    const content = this.script(script);
    onName?.(content);
    return await this.#send(`${this.urls[entry]}/v1/chat/completions`, {
      headers,
      body: JSON.stringify({ stream, messages: [{ role: "user", content }] }),
    });
  }

  /** Calls a plain service and answers it by the script. */
  async plain(
    service: "notes" | "badges",
    script: EndpointScript,
    headers: Record<string, string> = {},
  ): Promise<CallerAnswer> {
    return await this.plainWithBody(service, this.script(script), headers);
  }

  /** Calls a plain service with a body that names an already registered script. */
  async plainWithBody(
    service: "notes" | "badges",
    body: string,
    headers: Record<string, string>,
  ): Promise<CallerAnswer> {
    return await this.#send(`${this.urls[0]}/v1/services/${service}/x`, {
      headers,
      body,
    });
  }

  /** Returns an idempotency key that the first entry owns. */
  async newKey(name: string): Promise<string> {
    const [first] = await this.#listEntries();
    return `${first!.owner_token}.${name.padEnd(8, "x")}`;
  }

  /** Returns the token from which keys of an entry are made, given by the entry's id. */
  async ownerTokenOf(id: string): Promise<string> {
    const entries = await this.#listEntries();
    return entries.find((entry) => entry.id === id)!.owner_token;
  }

  async #listEntries(): Promise<
    readonly { id: string; owner_token: string }[]
  > {
    const { body } = await request(`${this.urls[0]}/v1/entries`, {
      headers: { authorization: `Bearer ${TOKEN}` },
    });
    const { entries } = await body.json() as {
      entries: { id: string; owner_token: string }[];
    };
    return entries;
  }

  /** Returns the headers with which a peer forwards a request. */
  peerHeaders(id: string, startAt: number): Record<string, string> {
    return {
      [PEER_HEADER]: new Credentials(SECRET, "wire").createProof(),
      [REQUEST_HEADER]: id,
      [OFFSET_HEADER]: String(startAt),
    };
  }

  get #callerHeaders(): Record<string, string> {
    return {
      authorization: `Bearer ${TOKEN}`,
      "content-type": "application/json",
    };
  }

  async #send(
    url: string,
    { headers, body }: { headers: Record<string, string>; body: string },
  ): Promise<CallerAnswer> {
    const response = await request(url, {
      method: "POST",
      headers: { ...this.#callerHeaders, ...headers },
      body,
    });
    let text = "";
    let broken = false;
    const decoder = new TextDecoder();
    try {
      for await (const chunk of response.body) {
        text += decoder.decode(chunk as Uint8Array, { stream: true });
      }
    } catch {
      broken = true;
    }
    const header = (name: string): string => String(response.headers[name]);
    return { status: response.statusCode, header, text, broken };
  }

  #answer(socket: Socket, text: string): void {
    // Sends each write at once, so that its bytes have left when the script continues.
    socket.setNoDelay(true);
    if (text.startsWith("GET /v1/load")) {
      socket.write(LOAD_ANSWER);
      return;
    }
    if (text.trim() === "") {
      return;
    }
    const name = /case-\d+-/.exec(text)?.[0] ?? "";
    const script = this.#scripts.get(name);
    if (script === undefined) {
      throw new Error(`Endpoint got a request that no test sent: ${text}`);
    }
    const valueOf = (header: string): string =>
      new RegExp(`^${header}: (.*)$`, "im").exec(text)?.[1]?.trim() ?? "";
    const id = valueOf("x-request-id");
    void script(socket, {
      id,
      number: Number(id.slice(id.lastIndexOf(".") + 1)),
      startAt: Number(valueOf("x-resume-offset")),
    });
  }

  async #startPlatform(vms: string): Promise<void> {
    this.#platform = createServer((message, reply) => {
      const url = new URL(message.url ?? "/", "http://platform");
      if (url.pathname === "/v1/vms") {
        reply.end(vms);
      } else if (!url.searchParams.has("wait_ms")) {
        reply.setHeader("x-revision", "1");
        reply.end(CONFIGURATION);
      }
    });
    await new Promise<void>((resolve) =>
      this.#platform.listen(0, "127.0.0.1", resolve)
    );
    const { port } = this.#platform.address() as AddressInfo;
    this.#platformUrl = `http://127.0.0.1:${port}`;
  }

  async #startEntry(
    { number, remoteUrl }: { number: number; remoteUrl?: string },
  ): Promise<void> {
    const region = remoteUrl === undefined ? "north" : "south";
    const seeds = this.lines.filter(({ text }) => text.endsWith("Listening."))
      .map(({ fields }) => fields["localControlUrl"]);
    const parsed = parseSettings(`
[entry]
id = n${number}
deployment = wire
region = ${region}
zone = ${region}-a
listen = 127.0.0.1:0
control = 127.0.0.1:0
secret = ${SECRET}
${remoteUrl === undefined ? "" : `advertised_url = ${remoteUrl}`}

[platform]
configuration_url = ${this.#platformUrl}
vm_list_url = ${this.#platformUrl}
${
      remoteUrl === undefined ? "" : `
[peers]
seeds = ${seeds.join(", ")}
`
    }
[tuning]
heartbeat_period_ms = 200
`);
    if (!parsed.ok) {
      throw new Error(JSON.stringify(parsed.faults));
    }
    const entry = new Entry(parsed.settings, this.#logger);
    this.#entries.push(entry);
    await entry.start();
    const listening = this.lines.findLast(({ text }) =>
      text.endsWith("Listening.")
    );
    this.urls.push(String(listening!.fields["localUrl"]));
  }
}

/** The answer that a caller received. */
export interface CallerAnswer {
  readonly status: number;
  readonly header: (name: string) => string;
  readonly text: string;
  /** Whether the connection broke before the answer was complete. */
  readonly broken: boolean;
}

/** Polls a condition until it holds, and throws after the timeout. */
export async function waitUntil(
  condition: () => boolean,
  timeoutMs = 20_000,
): Promise<void> {
  const until = performance.now() + timeoutMs;
  while (!condition()) {
    if (performance.now() > until) {
      throw new Error("The condition did not hold before the timeout");
    }
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
}
