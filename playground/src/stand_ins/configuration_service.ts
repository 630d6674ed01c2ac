/**
 * Stand-in for the platform's configuration service, which entries read and watch but never write.
 *
 * Control: `PUT /control/text` publishes, `PUT /control/mode` sets `normal`, `outage` or `stale`
 * (serves the previous revision), `PUT /control/restore` goes back to a revision as a restored backup does,
 * `GET /control/calls` returns the number of calls.
 *
 * @module
 */
import { H3 } from "h3";
import { readJson, type StandIn, StandInServer } from "./stand_in.ts";

/** How the service behaves. */
export type ConfigurationMode = "normal" | "outage" | "stale";

interface Published {
  readonly revision: number;
  readonly text: string;
}

const MAX_WAIT_MS = 60_000;

/** Serves the newest published text, or the previous one in mode `stale`. */
export class ConfigurationService implements StandIn {
  readonly #server: StandInServer;
  readonly #watchers = new Set<() => void>();
  #published: Published[] = [];
  #mode: ConfigurationMode = "normal";
  #calls = 0;

  constructor() {
    const app = new H3();
    app.get("/v1/text", ({ url }) => this.#read(url.searchParams));
    app.put(
      "/control/text",
      async ({ req }) => ({ revision: this.publish(await req.text()) }),
    );
    app.put("/control/mode", async ({ req }) => {
      this.setMode((await readJson<{ mode: ConfigurationMode }>(req)).mode);
      return { mode: this.#mode };
    });
    app.put("/control/restore", async ({ req }) => {
      this.restore((await readJson<{ revision: number }>(req)).revision);
      return {};
    });
    app.get(
      "/control/calls",
      () => ({ calls: this.#calls, waiting: this.#watchers.size }),
    );
    this.#server = new StandInServer(app);
  }

  start(): Promise<string> {
    return this.#server.start();
  }

  stop(): Promise<void> {
    return this.#server.stop();
  }

  /** Number of calls. A watch that waits counts as one call. */
  get calls(): number {
    return this.#calls;
  }

  /** Publishes a text under the next revision. */
  publish(text: string): number {
    const revision = (this.#published.at(-1)?.revision ?? 0) + 1;
    this.#published.push({ revision, text });
    this.#wakeWatchers();
    return revision;
  }

  /** Restores a backup: later revisions are lost, and their numbers are assigned again. */
  restore(revision: number): void {
    this.#published = this.#published.filter((published) =>
      published.revision <= revision
    );
    this.#wakeWatchers();
  }

  setMode(mode: ConfigurationMode): void {
    this.#mode = mode;
    this.#wakeWatchers();
  }

  async #read(query: URLSearchParams): Promise<Response> {
    this.#calls++;
    const after = Number(query.get("after") ?? 0);
    const waitMs = Math.min(MAX_WAIT_MS, Number(query.get("wait_ms") ?? 0));
    if (this.#mode === "outage") {
      return new Response("outage\n", { status: 503 });
    }
    // A stale replica answers a watch immediately if its revision differs from the watcher's.
    const servedRevision = this.#servedVersion()?.revision ?? 0;
    if (
      waitMs > 0 &&
      (servedRevision === after ||
        (servedRevision < after && this.#mode === "normal"))
    ) {
      await this.#waitForChange(waitMs);
    }
    return this.#respond(after, { watch: waitMs > 0 });
  }

  #respond(after: number, { watch }: { watch: boolean }): Response {
    const current = this.#servedVersion();
    if (this.#mode === "outage" || current === undefined) {
      return new Response("outage\n", { status: 503 });
    }
    if (watch && current.revision === after) {
      return new Response(null, { status: 304 });
    }
    return new Response(current.text, {
      headers: { "x-revision": String(current.revision) },
    });
  }

  #servedVersion(): Published | undefined {
    return this.#mode === "stale"
      ? this.#published.at(-2) ?? this.#published[0]
      : this.#published.at(-1);
  }

  async #waitForChange(waitMs: number): Promise<void> {
    await new Promise<void>((resolve) => {
      const timer = setTimeout(() => wake(), waitMs);
      const wake = (): void => {
        clearTimeout(timer);
        this.#watchers.delete(wake);
        resolve();
      };
      this.#watchers.add(wake);
    });
  }

  #wakeWatchers(): void {
    this.#watchers.forEach((wake) => wake());
  }
}
