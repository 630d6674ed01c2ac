/**
 * A running entry whose endpoints say exactly the bytes that a test gives them.
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
import { KeptLines, type Line } from "./kept_lines.ts";

/** One attempt as an endpoint sees it. */
export interface SeenAttempt {
  /** Its id, which the frames of its answer carry. */
  readonly id: string;
  /** 1 for the first attempt of its request. */
  readonly number: number;
  /** First token that it asks for. */
  readonly startAt: number;
}

/** Answers one attempt. */
export type Script = (socket: Socket, attempt: SeenAttempt) => unknown;

const TOKEN = "fixture-token";
const SECRET = "fixture-secret-0123456789";
const REPORT = JSON.stringify({
  running: 0,
  slots: 1_000,
  prefill_rate: 10_000,
  hold_ms: 10,
  model: "small@v1",
});
const LOAD_ANSWER =
  `HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: ${REPORT.length}\r\n\r\n${REPORT}`;
const TEXT = `
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

/** Endpoints of each kind, and one entry or more before them. */
export class EntryFixture {
  readonly #scripts = new Map<string, Script>();
  readonly #endpoints: RawEndpoint[] = [];
  readonly #logger = new KeptLines();
  #platform!: Server;
  #platformUrl = "";
  #cases = 0;
  readonly #entries: Entry[] = [];
  /** Callers' addresses of the entries. */
  readonly urls: string[] = [];

  /** What the entry has logged. */
  get lines(): readonly Line[] {
    return this.#logger.lines;
  }

  /** Metrics of the first entry. */
  get metrics(): string {
    return this.#entries[0]!.prometheus();
  }

  /** Starts the platform, so many endpoints of each pool, and entries that know all their loads. */
  async start(
    pools: Readonly<Record<string, number>>,
    { entries = 1, farUrl }: {
      entries?: number;
      /** Puts all endpoints behind another entry, in another region, that tells this as its address. */
      farUrl?: string;
    } = {},
  ): Promise<void> {
    const region = farUrl === undefined ? "north" : "south";
    const vms: { id: string }[] = [];
    for (const [pool, count] of Object.entries(pools)) {
      for (let index = 0; index < count; index++) {
        const endpoint = await listenRaw((socket, text) =>
          this.#answer(socket, text)
        );
        this.#endpoints.push(endpoint);
        const url = `http://${endpoint.address}`;
        const id = `${pool}-${index}`;
        const place = { zone: `${region}-a`, region };
        const vm = { id, role: "endpoint", pool, url, state: "live", ...place };
        vms.push(vm);
      }
    }
    await this.#startPlatform(JSON.stringify({ vms }));
    for (let number = 1; number <= entries; number++) {
      await this.#startEntry({ number });
    }
    if (farUrl !== undefined) {
      await this.#startEntry({ number: entries + 1, farUrl });
    }
    await waitUntil(() =>
      this.#entries.every((entry, index) => {
        const { endpoints, phase, members } = entry.status();
        const known = endpoints.filter(({ state }) => state === "live").length;
        const isFar = index >= entries;
        const knowsAll = farUrl === undefined || isFar
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

  /** Sets how endpoints answer a request, and names it: the name goes into its body. */
  script(script: Script): string {
    this.#cases++;
    const name = `case-${this.#cases}-`;
    this.#scripts.set(name, script);
    return name;
  }

  /** Asks for a chat completion, and reads the answer to its end or break. */
  async chat(
    script: Script,
    { stream = true, headers = {}, entry = 0, named }: {
      /** Is told the name that stands in the body, before it is sent. */
      named?: (name: string) => void;
      stream?: boolean;
      headers?: Record<string, string>;
      /** Which one is asked. */
      entry?: number;
    } = {},
  ): Promise<CallerAnswer> {
    const content = this.script(script);
    named?.(content);
    return await this.#send(`${this.urls[entry]}/v1/chat/completions`, {
      headers,
      body: JSON.stringify({ stream, messages: [{ role: "user", content }] }),
    });
  }

  /** Calls a plain service. */
  async plain(
    service: "notes" | "badges",
    script: Script,
    headers: Record<string, string> = {},
  ): Promise<CallerAnswer> {
    return await this.plainAgain(service, this.script(script), headers);
  }

  /** Calls a plain service with a body that a script was set for. */
  async plainAgain(
    service: "notes" | "badges",
    body: string,
    headers: Record<string, string>,
  ): Promise<CallerAnswer> {
    return await this.#send(`${this.urls[0]}/v1/services/${service}/x`, {
      headers,
      body,
    });
  }

  /** An idempotency key that this entry owns. */
  async newKey(name: string): Promise<string> {
    const { body } = await request(`${this.urls[0]}/v1/entries`, {
      headers: { authorization: `Bearer ${TOKEN}` },
    });
    const { entries } = await body.json() as {
      entries: { owner_token: string }[];
    };
    return `${entries[0]!.owner_token}.${name.padEnd(8, "x")}`;
  }

  /** Headers by which an entry passes a request on. */
  peerHeaders(id: string, startAt: number): Record<string, string> {
    return {
      [PEER_HEADER]: new Credentials(SECRET, "wire").prove(),
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
    // What a test writes is on its way when the test goes on.
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
        reply.end(TEXT);
      }
    });
    await new Promise<void>((resolve) =>
      this.#platform.listen(0, "127.0.0.1", resolve)
    );
    const { port } = this.#platform.address() as AddressInfo;
    this.#platformUrl = `http://127.0.0.1:${port}`;
  }

  async #startEntry(
    { number, farUrl }: { number: number; farUrl?: string },
  ): Promise<void> {
    const region = farUrl === undefined ? "north" : "south";
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
${farUrl === undefined ? "" : `advertised_url = ${farUrl}`}

[platform]
configuration_url = ${this.#platformUrl}
vm_list_url = ${this.#platformUrl}
${
      farUrl === undefined ? "" : `
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

/** What a caller got. */
export interface CallerAnswer {
  readonly status: number;
  readonly header: (name: string) => string;
  readonly text: string;
  /** Whether the connection broke before the answer's end. */
  readonly broken: boolean;
}

/** Waits for a condition, looking often. */
export async function waitUntil(
  condition: () => boolean,
  timeoutMs = 20_000,
): Promise<void> {
  const until = performance.now() + timeoutMs;
  while (!condition()) {
    if (performance.now() > until) {
      throw new Error("The condition did not come about");
    }
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
}
