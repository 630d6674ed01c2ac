/**
 * Stand-ins of the platform for the scripts of the review: the store, runners, clients, and entries as processes.
 * They follow the users' pages; where a page is silent, they behave like sound servers and clients.
 */
import { spawn } from "node:child_process";
import { once } from "node:events";
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { Agent, createServer, request } from "node:http";
import { createServer as createTcpServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";

export const ROOT = fileURLToPath(new URL("../../", import.meta.url));
export const HOST_NAME = "ficu95.example";
export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));
const started = performance.now();
/** Milliseconds since the script started. */
export const clock = () => performance.now() - started;

/** Whether the disruption is left out. */
export const calm = process.env.TROUBLE === "0";

/** Writes lines to a record and to standard output. */
export class Record {
  #file;

  constructor(folder) {
    this.#file = join(folder, "record.txt");
    writeFileSync(this.#file, "");
  }

  line(text) {
    appendFileSync(this.#file, `${(clock() / 1000).toFixed(3).padStart(8)} s  ${text}\n`);
  }

  say(text) {
    this.line(text);
    console.log(text);
  }
}

/** The platform's store: range reads, watches and their history. */
export class Store {
  address = "";
  #items = new Map();
  #history = [];
  #revision = 10;
  #waiting = new Set();
  #server = createServer((message, reply) => this.#receive(message, reply));

  async listen() {
    this.#server.listen(0, "127.0.0.1");
    await once(this.#server, "listening");
    this.address = `127.0.0.1:${this.#server.address().port}`;
  }

  put(key, value) {
    this.putBytes(key, Buffer.from(JSON.stringify(value)));
  }

  putBytes(key, bytes) {
    const revision = ++this.#revision;
    const created = this.#items.get(key)?.created ?? revision;
    const item = { key, value: bytes.toString("base64"), revision, created, lease: 0 };
    this.#items.set(key, item);
    this.#change(item);
  }

  remove(key) {
    if (this.#items.delete(key)) {
      this.#change({ key, revision: ++this.#revision, tombstone: true });
    }
  }

  close() {
    this.#server.closeAllConnections();
    this.#server.close();
  }

  #change(event) {
    this.#history.push(event);
    const waiting = [...this.#waiting];
    this.#waiting.clear();
    waiting.forEach((notify) => notify());
  }

  #receive(message, reply) {
    const { pathname, searchParams: query } = new URL(message.url, "http://store");
    const prefix = query.get("path_prefix") ?? "";
    if (pathname === "/api/kv-range") {
      const after = query.get("after") ?? "";
      const items = [...this.#items.values()]
        .filter(({ key }) => key.startsWith(prefix) && key > after)
        .sort((left, right) => (left.key < right.key ? -1 : 1));
      return this.#json(reply, 200, { items: items.slice(0, 500), more_pages: items.length > 500 });
    }
    if (pathname === "/api/kv-key") {
      const item = this.#items.get(query.get("key"));
      return this.#json(reply, item === undefined ? 404 : 200, item ?? {});
    }
    if (pathname === "/api/kv-watch") {
      const after = Number(query.get("after"));
      const wait = Math.min(30_000, Number(query.get("wait_ms") ?? 0));
      const events = () =>
        this.#history.filter((event) => event.revision > after && event.key.startsWith(prefix));
      if (events().length > 0 || wait <= 0) {
        return this.#json(reply, 200, { events: events() });
      }
      const answer = () => {
        clearTimeout(timer);
        this.#waiting.delete(answer);
        if (events().length === 0 && clock() < end) {
          this.#waiting.add(answer);
          timer = setTimeout(answer, end - clock());
          return;
        }
        this.#json(reply, 200, { events: events() });
      };
      const end = clock() + wait;
      let timer = setTimeout(answer, wait);
      this.#waiting.add(answer);
      reply.on("close", () => {
        clearTimeout(timer);
        this.#waiting.delete(answer);
      });
      return;
    }
    this.#json(reply, 404, {});
  }

  #json(reply, status, body) {
    const text = JSON.stringify({ ...body, as_of: this.#revision });
    reply.writeHead(status, {
      "content-type": "application/json",
      "content-length": Buffer.byteLength(text),
    });
    reply.end(text);
  }
}

/** A runner: runs `slots` requests at once, queues a few more, and drops a request whose connection closes. */
export class Runner {
  address = "";
  running = 0;
  /** What became of each request: `{ call, at, what }`, in milliseconds of `clock`. */
  events = [];
  state = "ready";
  coldUntil = 0;
  #queue = [];
  #sequence = 0;
  #beat;
  #server = createServer((message, reply) => this.#receive(message, reply));

  constructor(store, options) {
    Object.assign(this, {
      slots: 6,
      places: 24,
      workMs: 50,
      version: "v1",
      heartbeatMs: 1_200,
      keepAliveMs: 20_000,
      ...options,
    });
    this.store = store;
    this.#server.keepAliveTimeout = this.keepAliveMs;
  }

  async start() {
    this.#server.listen(this.port ?? 0, "127.0.0.1");
    await once(this.#server, "listening");
    this.address = `127.0.0.1:${this.#server.address().port}`;
    this.startedAt = clock();
    this.writeRecord();
    this.#beat = setInterval(() => this.writeRecord(), this.heartbeatMs);
  }

  writeRecord() {
    this.store.put(`servers/${this.id}`, {
      service: this.service,
      address: this.address,
      zone: this.zone,
      version: this.version,
      slots: this.slots,
      state: this.state,
      cold_remaining_ms: Math.max(0, Math.round(this.coldUntil - clock())),
      sequence: ++this.#sequence,
      ...(this.born === undefined ? {} : { born: this.born }),
    });
  }

  close() {
    clearInterval(this.#beat);
    this.#server.closeAllConnections();
    this.#server.close();
  }

  note(call, what) {
    this.events.push({ call, at: clock(), what });
  }

  #receive(message, reply) {
    const chunks = [];
    message.on("data", (chunk) => chunks.push(chunk));
    message.on("error", () => {});
    message.on("end", () => this.#read(message, reply, Buffer.concat(chunks)));
  }

  #read(message, reply, body) {
    const call = message.headers["x-attempt-id"];
    const load = `${this.running},${this.#queue.length},${this.slots}`;
    if (call === undefined) {
      return reply.writeHead(this.state === "ready" ? 200 : 503, {
        "x-instance-id": this.id,
        "x-server-load": load,
        "content-length": 0,
      }).end();
    }
    const expected = message.headers["x-expected-instance"];
    if (expected !== undefined && expected !== this.id) {
      return reply.writeHead(421, { "x-instance-id": this.id, "content-length": 0 }).end();
    }
    this.note(call, "arrived");
    const job = { call, message, reply, body, gone: false, ends: clock() + Number(message.headers["x-deadline-milliseconds"] ?? 15_000) };
    reply.on("close", () => (job.gone = true));
    if (this.running < this.slots) {
      this.#run(job);
    } else if (this.#queue.length < this.places) {
      this.#queue.push(job);
    } else {
      this.note(call, "shed");
      reply.writeHead(503, { "x-not-executed": "1", "x-server-load": load, "content-length": 0 }).end();
    }
  }

  async #run(job) {
    this.running++;
    this.note(job.call, "runs");
    const headers = {
      "x-attempt-id": job.call,
      "x-server-seal": `${this.id}.${job.call}`,
    };
    if (job.message.headers["x-token-counts"] !== undefined) {
      await this.#stream(job, headers);
    } else {
      const ends = clock() + this.workMs;
      while (!job.gone && clock() < ends) {
        await sleep(Math.min(10, Math.max(1, ends - clock())));
      }
      if (!job.gone) {
        const text = Buffer.from(`answer of ${this.id} to ${job.call}`);
        job.reply.writeHead(200, {
          ...headers,
          "x-server-load": `${this.running},${this.#queue.length},${this.slots}`,
          "content-length": text.length,
        });
        job.reply.end(text);
      }
    }
    this.note(job.call, job.gone ? "dropped" : "ended");
    this.running--;
    let next = this.#queue.shift();
    while (next !== undefined && (next.gone || clock() > next.ends)) {
      if (!next.gone) {
        next.reply.writeHead(503, { "x-not-executed": "1", "content-length": 0 }).end();
      }
      next = this.#queue.shift();
    }
    if (next !== undefined) {
      this.#run(next);
    }
  }

  async #stream(job, headers) {
    const { eventCount = 20, eventMs = 50 } = this;
    job.reply.writeHead(200, { ...headers, "content-type": "text/event-stream" });
    const first = Number(job.message.headers["last-event-id"] ?? 0) + 1;
    for (let id = first; id <= eventCount && !job.gone; id++) {
      await sleep(eventMs);
      job.reply.write(`id: ${id}\ndata: ${job.call} piece ${id} of ${eventCount}\n\n`);
    }
    if (!job.gone) {
      job.reply.end();
    }
  }
}

/** Sends one client attempt; resolves with what came of it. */
export function send(address, { call, path, method = "GET", body, deadline = 5_000, headers = {}, agent, leaveAfter }) {
  return new Promise((resolve) => {
    const [host, port] = address.split(":");
    const sentAt = clock();
    const result = { call, sentAt, status: 0, complete: false, body: "", leftAt: undefined, error: undefined };
    let timer;
    const done = () => {
      clearTimeout(timer);
      result.doneAt = clock();
      resolve(result);
    };
    const sending = request({
      host,
      port,
      path,
      method,
      agent: agent ?? false,
      headers: {
        host: HOST_NAME,
        "x-attempt-id": call,
        "x-deadline-milliseconds": String(deadline),
        ...(body === undefined ? {} : { "content-length": Buffer.byteLength(body) }),
        ...headers,
      },
    });
    sending.on("socket", (socket) => (result.reused = sending.reusedSocket, result.port = socket.localPort));
    sending.on("response", (answer) => {
      result.status = answer.statusCode;
      result.headers = answer.headers;
      answer.on("data", (chunk) => (result.body += chunk));
      answer.on("end", () => {
        result.complete = answer.complete;
        done();
      });
      answer.on("error", (error) => {
        result.error = error.code ?? error.message;
        done();
      });
    });
    sending.on("error", (error) => {
      result.error = error.code ?? error.message;
      done();
    });
    if (leaveAfter !== undefined) {
      timer = setTimeout(() => {
        result.leftAt = clock();
        sending.destroy();
      }, leaveAfter);
    }
    sending.end(body);
  });
}

export const keptAgent = () => new Agent({ keepAlive: true, maxSockets: Infinity });

/** The store, the runners and the entries of one small deployment. */
export class Deployment {
  store = new Store();
  runners = [];
  entries = [];
  #folder = mkdtempSync(join(tmpdir(), "review-"));
  #version = 1;
  #net = `127.${20 + (process.pid >> 8) % 200}.${process.pid % 250}`;
  #ports = [];
  #services = [];
  #routes = [];

  constructor({ zones, bounds = {} }) {
    this.zones = zones;
    this.bounds = {
      budget_ratio: 0.2,
      budget_window_s: 10,
      budget_slack: 54,
      cold_overshoot: 1.5,
      cold_slack: 3,
      ttl_max_s: 5,
      grace_s: 8,
      ...bounds,
    };
  }

  /** Stores a configuration. */
  configure({ services = this.#services, routes = this.#routes }) {
    this.#services = services;
    this.#routes = routes;
    this.#version += 2;
    this.store.put("op/config", {
      version: this.#version,
      routes: routes.map((route) => ({
        host: HOST_NAME,
        timeout_ms: 5_000,
        response_target_ms: 500,
        priority: 1,
        attempts: 1,
        sticky: false,
        resumable: false,
        home_regions: [],
        ...route,
      })),
      services: services.map((service) => ({
        health_path: "/health",
        connection_limit: 360,
        protocol: "h1",
        transport_security: false,
        cold_s: 0,
        cold_per_s: 0,
        ...service,
      })),
      limits: { header_bytes: 16_384, body_bytes: 4_194_304, header_ms: 3_000, idle_ms: 15_000 },
    });
    return this.#version;
  }

  async addRunner(options) {
    const runner = new Runner(this.store, options);
    this.runners.push(runner);
    await runner.start();
    return runner;
  }

  /** Starts an entry in each of the zones named, all at once, and waits until they are ready. */
  async startEntries(zones) {
    if (this.#ports.length === 0) {
      this.#ports = await freePorts(5, this.#net, zones.length);
    }
    zones.forEach((zone) => {
      const index = this.entries.length + 1;
      const host = `${this.#net}.${index}`;
      const [front, ready, directory, control, internal] = this.#ports;
      const entry = {
        name: `front-${zone}-${index}`,
        zone,
        host,
        front: `${host}:${front}`,
        ready: `${host}:${ready}`,
        directory: `${host}:${directory}`,
        control: `${host}:${control}`,
        internal,
        settings: join(this.#folder, `entry-${index}.ini`),
        exits: [],
        output: "",
      };
      this.entries.push(entry);
    });
    this.entries.forEach((entry) => writeFileSync(entry.settings, this.#settingsOf(entry)));
    this.entries.forEach((entry) => this.launch(entry));
    await Promise.all(this.entries.map((entry) => this.untilReady(entry)));
  }

  /** Starts an entry's process with the run line of the deploy file. */
  launch(entry) {
    const [program, ...words] = /^run = "(.*)"$/m.exec(readFileSync(join(ROOT, "deploy/system.toml"), "utf8"))[1].split(" ");
    const child = spawn(program === "node" ? process.execPath : program, words, {
      cwd: ROOT,
      env: { PATH: process.env.PATH, HOME: process.env.HOME ?? "/", LANG: process.env.LANG ?? "C", SASSAFRASSTEP_BOOT: entry.settings },
      stdio: ["ignore", "pipe", "pipe"],
    });
    child.stdout.on("data", (bytes) => (entry.output += bytes));
    child.stderr.on("data", (bytes) => (entry.output += bytes));
    child.on("exit", (code, signal) => entry.exits.push({ at: clock(), code, signal }));
    entry.process = child;
  }

  async untilReady({ ready, name, output }, limitMs = 15_000) {
    const end = clock() + limitMs;
    while (clock() < end) {
      const { status } = await send(ready, { call: "ready", path: "/api/ready" });
      if (status === 200) {
        return;
      }
      await sleep(20);
    }
    throw new Error(`${name} is not ready: ${output}`);
  }

  /** Ends all processes and servers that were started. */
  async close() {
    for (const { process: child } of this.entries) {
      if (child.exitCode === null && child.signalCode === null) {
        child.kill("SIGKILL");
        await once(child, "exit");
      }
    }
    this.runners.forEach((runner) => runner.close());
    this.store.close();
    rmSync(this.#folder, { recursive: true });
  }

  /** Settings of an entry: the template of the deploy file, filled in as the platform does. */
  #settingsOf(entry) {
    const seeds = this.entries.slice(0, 3).map(({ control }) => control).join(",");
    const values = {
      node_name: entry.name,
      zone: entry.zone,
      region: this.zones[entry.zone],
      "limits.processor_share": 0.675,
      "limits.cores": 1,
      "listen.front": entry.front,
      "listen.ready": entry.ready,
      "listen.directory": entry.directory,
      "listen.control": entry.control,
      ip_address: entry.host,
      "internal_ports.0": entry.internal,
      seeds,
      "platform.address": this.store.address,
      ...Object.fromEntries(Object.entries(this.bounds).map(([key, value]) => [`bounds.${key}`, value])),
    };
    const zones = Object.entries(this.zones).map(([zone, region]) => `${zone} = ${region}\n`).join("");
    return readFileSync(join(ROOT, "deploy/settings.ini"), "utf8")
      .replace(/\{\{#zones\}\}[^]*\{\{\/zones\}\}/, zones)
      .replace(/\{\{([\w.]+)\}\}/g, (_, name) => String(values[name] ?? ""));
  }
}

/** Ports that are free at all addresses of a deployment, below those that the system assigns to connections. */
async function freePorts(count, net, hosts) {
  const ports = [];
  while (ports.length < count) {
    const port = 20_000 + Math.floor(Math.random() * 12_000);
    const checks = Array.from({ length: hosts }, async (_, index) => {
      const server = createTcpServer();
      server.listen(port, `${net}.${index + 1}`);
      const [event] = await Promise.race([
        once(server, "listening").then(() => ["listening"]),
        new Promise((resolve) => server.once("error", () => resolve(["error"]))),
      ]);
      server.close();
      return event === "listening";
    });
    if (!ports.includes(port) && (await Promise.all(checks)).every(Boolean)) {
      ports.push(port);
    }
  }
  return ports;
}
