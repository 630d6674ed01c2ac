/**
 * Stand-ins for the platform's store, its runners and its clients, and entries started with the run line of the
 * deploy file. All addresses are loopback addresses.
 */
import { spawn } from "node:child_process";
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:http";
import { connect, createServer as createTcpServer } from "node:net";
import { createSocket } from "node:dgram";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";

export const ROOT = fileURLToPath(new URL("../../", import.meta.url));
export const TROUBLE = process.env.TROUBLE !== "0";
export const HELD = 0;
/** Node ends with 1 where a script fails by itself, so that run.sh makes 1 of this and 2 of all else but 0. */
export const BROKEN = 10;
export const COULD_NOT_RUN = 2;
/** Entries run for longer than settle_window_ms (6 s) before a case sends its first request. */
export const LEAD_MS = 7_000;
/** Of the application service of the small site. */
const SLOTS = 6;
const HEARTBEAT_MS = 1_200;

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** First three octets of this process's addresses, so that cases that run at once do not meet. */
const NETWORK = `127.${10 + (process.pid >> 8) % 200}.${process.pid % 250}`;

/** The bounds of the small site, as the platform's settings state them. */
const BOUNDS = {
  budget_ratio: 0.2,
  budget_window_s: 10,
  budget_slack: 54,
  cold_overshoot: 1.5,
  cold_slack: 3,
  ttl_max_s: 5,
  grace_s: 8,
};

/** Writes lines with times to the record and to standard output. */
export class Record {
  #path;
  #start = performance.now();
  constructor(path) {
    this.#path = path;
    writeFileSync(path, "");
  }
  write(text) {
    const line = `${((performance.now() - this.#start) / 1000).toFixed(3)} ${text}`;
    appendFileSync(this.#path, line + "\n");
    console.log(line);
  }
}

/** The platform's store: reads and watches of items. */
export class Store {
  #items = new Map();
  #history = [];
  #revision = 100;
  #waiting = new Set();
  /** Names of entries that are cut off from the store: nothing that they send is answered, pending watches included. */
  cut = new Set();
  servers = [];
  /** Listens on an address for one entry. Connections on loopback don't tell who opened them. */
  async listen(name) {
    const server = createServer((message, reply) => this.#receive(name, message, reply));
    this.servers.push(server);
    return await listen(server, `${NETWORK}.1`);
  }
  put(key, value) {
    const text = Buffer.from(JSON.stringify(value)).toString("base64");
    const item = { key, value: text, revision: ++this.#revision, created: this.#revision, lease: 0 };
    this.#items.set(key, item);
    this.#note(item);
  }
  remove(key) {
    this.#items.delete(key);
    this.#note({ key, revision: ++this.#revision, tombstone: true });
  }
  #note(event) {
    this.#history.push(event);
    for (const notify of [...this.#waiting]) notify();
  }
  #receive(name, message, reply) {
    if (this.cut.has(name)) return;
    const url = new URL(message.url, "http://store");
    const prefix = url.searchParams.get("path_prefix") ?? "";
    if (url.pathname === "/api/kv-range") {
      const after = url.searchParams.get("after") ?? "";
      const items = [...this.#items.values()].filter(({ key }) => key.startsWith(prefix) && key > after)
        .sort((left, right) => left.key < right.key ? -1 : 1);
      return this.#send(reply, { items, more_pages: false });
    }
    if (url.pathname !== "/api/kv-watch") return void reply.writeHead(404).end();
    const after = Number(url.searchParams.get("after"));
    const answer = () => {
      const events = this.#history.filter(({ key, revision }) => revision > after && key.startsWith(prefix));
      if (events.length === 0) return false;
      if (!this.cut.has(name)) this.#send(reply, { events });
      return true;
    };
    if (answer()) return;
    const notify = () => {
      if (answer()) {
        this.#waiting.delete(notify);
        clearTimeout(timer);
      }
    };
    const timer = setTimeout(() => {
      this.#waiting.delete(notify);
      if (!this.cut.has(name)) this.#send(reply, { events: [] });
    }, Number(url.searchParams.get("wait_ms")));
    this.#waiting.add(notify);
    reply.on("close", () => {
      this.#waiting.delete(notify);
      clearTimeout(timer);
    });
  }
  #send(reply, body) {
    const text = JSON.stringify({ ...body, as_of: this.#revision });
    reply.writeHead(200, { "content-type": "application/json", "content-length": Buffer.byteLength(text) });
    reply.end(text);
  }
}

/** A runner. `serve(message, reply, body)` answers a request that runs. */
export class Runner {
  runs = [];
  constructor(world, { id, service, zone, serve, fields = {} }) {
    Object.assign(this, { world, id, service, zone, serve, fields });
    this.sequence = 0;
    this.running = 0;
    this.server = createServer((message, reply) => this.#receive(message, reply));
    this.server.keepAliveTimeout = 15_000;
  }
  async listen() {
    this.address = await listen(this.server, `${NETWORK}.2`);
    setInterval(() => this.publish(), HEARTBEAT_MS).unref();
  }
  get #load() {
    return `${this.running},0,${this.fields.slots ?? SLOTS}`;
  }
  publish(extra = {}) {
    this.fields = { ...this.fields, ...extra };
    this.world.store.put(`servers/${this.id}`, {
      service: this.service,
      address: this.address,
      zone: this.zone,
      version: "v1",
      slots: SLOTS,
      state: "ready",
      cold_remaining_ms: 0,
      sequence: ++this.sequence,
      ...this.fields,
    });
  }
  #receive(message, reply) {
    const chunks = [];
    message.on("data", (chunk) => chunks.push(chunk));
    message.on("end", () => {
      if (message.url === "/health") {
        return void reply.writeHead(200, { "X-Instance-Id": this.id, "X-Server-Load": this.#load }).end();
      }
      const expected = message.headers["x-expected-instance"];
      if (expected !== undefined && expected !== this.id) {
        return void reply.writeHead(421, { "X-Instance-Id": this.id }).end();
      }
      const call = message.headers["x-attempt-id"];
      if (call === undefined) return void reply.writeHead(400, { "X-Not-Executed": "1" }).end();
      this.running++;
      reply.once("close", () => this.running--);
      this.runs.push({ call, at: performance.now(), path: message.url });
      this.world.record.write(`runner ${this.id} (${this.service}) runs ${call} ${message.url}`);
      this.serve(message, reply, {
        body: Buffer.concat(chunks),
        headers: { "X-Attempt-Id": call, "X-Server-Seal": `seal.${this.id}.${call}`, "X-Server-Load": this.#load },
      });
    });
  }
}

/** Store, runners and entries of one deployment. */
export class World {
  runners = [];
  entries = [];
  constructor(record, { zones, limits = {}, services, bounds = {} }) {
    Object.assign(this, { record, zones, services, limits, bounds });
    this.store = new Store();
    this.folder = mkdtempSync(join(tmpdir(), "review-"));
    this.version = 3;
  }
  async open() {
    this.peerPort = await freeUdpPort();
  }
  async addRunner(options) {
    const runner = new Runner(this, options);
    this.runners.push(runner);
    await runner.listen();
    runner.publish();
    return runner;
  }
  configure(routes) {
    this.version += 2;
    this.store.put("op/config", {
      version: this.version,
      routes,
      services: this.services,
      limits: { header_bytes: 16_384, body_bytes: 4_194_304, header_ms: 3_000, idle_ms: 15_000, ...this.limits },
    });
    return this.version;
  }
  async startEntries(places) {
    const hosts = places.map((_, index) => `${NETWORK}.${11 + index}`);
    const ports = {};
    for (const name of ["front", "ready", "control", "directory"]) ports[name] = await freePort(hosts);
    const seeds = hosts.slice(0, 3).map((host) => `${host}:${ports.control}`);
    for (const [index, zone] of places.entries()) {
      const host = hosts[index];
      const fields = {
        node_name: `front-${index + 1}`,
        zone,
        region: this.zones[zone],
        ip_address: host,
        internal_ports: [this.peerPort, this.peerPort + 15],
        seeds,
        zones: this.zones,
        listen: Object.fromEntries(Object.entries(ports).map(([name, port]) => [name, `${host}:${port}`])),
        limits: { processor_share: 0.675, cores: 1, memory_mb: 350 },
        bounds: { ...BOUNDS, ...this.bounds },
        platform: { address: await this.store.listen(`front-${index + 1}`) },
      };
      const settings = join(this.folder, `${fields.node_name}.ini`);
      writeFileSync(settings, fill(readFileSync(join(ROOT, "deploy/settings.ini"), "utf8"), fields));
      const entry = { name: fields.node_name, host, zone, settings, ...fields.listen, log: "" };
      this.entries.push(entry);
      this.spawnEntry(entry);
    }
    for (const entry of this.entries) await this.untilReady(entry);
  }
  spawnEntry(entry) {
    if (this.isClosed) return;
    const deploy = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
    const [, ...words] = /^run = "(.*)"$/m.exec(deploy)[1].split(" ");
    entry.process = spawn(process.execPath, words, {
      cwd: ROOT,
      env: { PATH: process.env.PATH, HOME: process.env.HOME, SASSAFRASSTEP_BOOT: entry.settings },
      stdio: ["ignore", "pipe", "pipe"],
    });
    entry.exited = new Promise((resolve) =>
      entry.process.once("exit", (code, signal) => {
        entry.endedAt = performance.now();
        resolve({ code, signal });
      })
    );
    for (const stream of [entry.process.stdout, entry.process.stderr]) {
      stream.on("data", (bytes) => entry.log += bytes);
    }
  }
  async untilReady(entry) {
    for (let tries = 0; tries < 400; tries++) {
      const status = await fetch(`http://${entry.ready}/api/ready`).then((answer) => answer.status, () => 0);
      if (status === 200) return;
      await sleep(25);
    }
    throw new Error(`${entry.name} is not ready:\n${entry.log}`);
  }
  /** Ends all entries at once, for a script that is ended itself. */
  killEntries() {
    this.isClosed = true;
    for (const { process: child } of this.entries) child.kill("SIGKILL");
  }
  async close() {
    this.isClosed = true;
    for (const { process: child, exited } of this.entries) {
      if (child.exitCode === null && child.signalCode === null) {
        child.kill("SIGCONT");
        child.kill("SIGKILL");
        await exited;
      }
    }
    for (const server of [...this.runners.map((runner) => runner.server), ...this.store.servers]) {
      server.closeAllConnections();
      server.close();
    }
    rmSync(this.folder, { recursive: true, force: true });
  }
}

/** A route as the operator writes it. */
export function route(name, fields) {
  return {
    name,
    host: "ficu95.example",
    path_prefix: `/${name}/`,
    kind: "non_idempotent",
    timeout_ms: 15_000,
    response_target_ms: 1_000,
    priority: 1,
    attempts: 1,
    sticky: false,
    resumable: false,
    home_regions: [],
    ...fields,
  };
}

export function plainService(name) {
  return { name, health_path: "/health", connection_limit: 100, protocol: "h1", transport_security: false, cold_s: 0, cold_per_s: 0 };
}

/** Text of a request as a client writes it. */
export function requestText(method, path, { call, deadlineMs = 15_000, body = "", headers = {} }) {
  const lines = [
    `${method} ${path} HTTP/1.1`,
    "Host: ficu95.example",
    `X-Attempt-Id: ${call}`,
    `X-Deadline-Milliseconds: ${deadlineMs}`,
    ...Object.entries(headers).map(([name, value]) => `${name}: ${value}`),
    ...(method === "GET" ? [] : [`Content-Length: ${Buffer.byteLength(body)}`]),
  ];
  return `${lines.join("\r\n")}\r\n\r\n${body}`;
}

/** Sends one request on a new connection and reads the whole answer: `{ status, headers, body, complete }`. */
export function send(address, method, path, options) {
  return new Promise((resolve) => {
    const [host, port] = address.split(":");
    const socket = connect(Number(port), host, () => socket.write(requestText(method, path, options)));
    const chunks = [];
    const done = (error) => {
      clearTimeout(timer);
      socket.destroy();
      resolve({ ...parseAnswer(Buffer.concat(chunks)), error });
    };
    const timer = setTimeout(() => done("deadline"), options.deadlineMs ?? 15_000);
    socket.on("data", (chunk) => {
      chunks.push(chunk);
      if (parseAnswer(Buffer.concat(chunks)).complete) done();
    });
    socket.on("error", (error) => done(error.code));
    socket.on("end", () => done("closed"));
  });
}

/** Parses what was read of an answer with a length or in chunks. */
export function parseAnswer(bytes) {
  const end = bytes.indexOf("\r\n\r\n");
  if (end < 0) return { status: 0, headers: {}, body: bytes, complete: false };
  const [first, ...lines] = bytes.subarray(0, end).toString("latin1").split("\r\n");
  const headers = Object.fromEntries(lines.map((line) => {
    const colon = line.indexOf(":");
    return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
  }));
  const status = Number(first.split(" ")[1]);
  const rest = bytes.subarray(end + 4);
  if (headers["transfer-encoding"] !== "chunked") {
    const length = Number(headers["content-length"] ?? Infinity);
    return { status, headers, body: rest.subarray(0, length), complete: rest.length >= length, length };
  }
  const parts = [];
  let at = 0;
  for (;;) {
    const lineEnd = rest.indexOf("\r\n", at);
    if (lineEnd < 0) return { status, headers, body: Buffer.concat(parts), complete: false };
    const size = parseInt(rest.subarray(at, lineEnd).toString("latin1"), 16);
    if (size === 0) return { status, headers, body: Buffer.concat(parts), complete: true };
    parts.push(rest.subarray(lineEnd + 2, lineEnd + 2 + size));
    at = lineEnd + 2 + size + 2;
    if (at > rest.length) return { status, headers, body: Buffer.concat(parts), complete: false };
  }
}

/** Runs a case and ends with its exit code. `play` returns whether the rule was broken. */
export async function runCase(folder, play) {
  const record = new Record(join(folder, "record.txt"));
  const worlds = [];
  const limit = setTimeout(() => finish(COULD_NOT_RUN, "took too long"), 105_000);
  for (const name of ["uncaughtException", "unhandledRejection"]) {
    process.on(name, (error) => finish(COULD_NOT_RUN, `could not run: ${error?.stack ?? error}`));
  }
  for (const name of ["SIGTERM", "SIGINT"]) process.on(name, () => finish(COULD_NOT_RUN, `ended by ${name}`));
  process.on("exit", () => worlds.forEach((world) => world.killEntries()));
  let ended = false;
  async function finish(code, text) {
    if (ended) return;
    ended = true;
    clearTimeout(limit);
    record.write(text);
    for (const world of worlds) await world.close();
    process.exit(code);
  }
  try {
    const broken = await play({
      record,
      createWorld: async (options) => {
        const world = new World(record, options);
        worlds.push(world);
        await world.open();
        return world;
      },
    });
    await finish(broken ? BROKEN : HELD, broken ? "RULE BROKEN" : "rule held");
  } catch (error) {
    await finish(COULD_NOT_RUN, `could not run: ${error.stack}`);
  }
}

function fill(template, fields) {
  const find = (name) => name.split(".").reduce((value, key) => value?.[key], fields);
  const show = (value) => value === undefined ? "" : Array.isArray(value) ? value.join(",") : String(value);
  return template
    .replace(/\{\{#(\w+)\}\}([^]*?)\{\{\/\1\}\}/g, (_, name, text) =>
      Object.entries(find(name)).map(([key, value]) =>
        text.replaceAll("{{@}}", key).replaceAll("{{.}}", show(value))
      ).join(""))
    .replace(/\{\{([\w.]+)\}\}/g, (_, name) => show(find(name)));
}

async function listen(server, host) {
  await new Promise((resolve, reject) => server.once("error", reject).listen(0, host, resolve));
  return `${host}:${server.address().port}`;
}

/** A port below those of outgoing connections that is free on all hosts. */
async function freePort(hosts) {
  for (;;) {
    const port = 20_000 + Math.floor(Math.random() * 12_000);
    const free = await Promise.all(hosts.map((host) =>
      new Promise((resolve) => {
        const server = createTcpServer().once("error", () => resolve(false));
        server.listen(port, host, () => server.close(() => resolve(true)));
      })
    ));
    if (free.every(Boolean)) return port;
  }
}

function freeUdpPort() {
  return new Promise((resolve, reject) => {
    const socket = createSocket("udp4").once("error", reject);
    socket.bind(0, `${NETWORK}.1`, () => {
      const { port } = socket.address();
      socket.close(() => resolve(port));
    });
  });
}
