/**
 * Stand-in for the platform's VM list, which shows changes after a lag, and for the directory in which
 * clients find their first entry.
 *
 * Control: `PUT /control/vms` sets the current list, `PUT /control/lag` sets `{ "lag_ms": n, "frozen": bool }`.
 *
 * @module
 */
import { sha256 } from "@sassafrasstep/core";
import { H3 } from "h3";
import { readJson, type StandIn, StandInServer } from "./stand_in.ts";

const ETAG_LENGTH = 16;

/** A VM as the list publishes it. */
export interface PublishedVm {
  readonly id: string;
  readonly role: "entry" | "endpoint";
  readonly zone: string;
  readonly region: string;
  readonly url: string;
  readonly controlUrl?: string;
  readonly pool: string;
  readonly state: "live" | "leaving";
}

/** Serves the VM list as it was `lagMs` ago. While the list is frozen, changes do not appear. */
export class VmList implements StandIn {
  readonly #server: StandInServer;
  #versions: { readonly at: number; readonly vms: readonly PublishedVm[] }[] = [
    { at: 0, vms: [] },
  ];
  #lagMs: number;
  #frozenAt: number | undefined;

  constructor({ lagMs = 200 }: { lagMs?: number } = {}) {
    this.#lagMs = lagMs;
    const app = new H3();
    app.get(
      "/v1/vms",
      ({ req, url }) => this.#list(req, url.searchParams.get("region")),
    );
    app.get(
      "/v1/clients/entries",
      ({ url }) => this.#listEntries(url.searchParams.get("region")),
    );
    app.put("/control/vms", async ({ req }) => {
      this.set((await readJson<{ vms: PublishedVm[] }>(req)).vms);
      return {};
    });
    app.put("/control/lag", async ({ req }) => {
      const { lag_ms, frozen } = await readJson<
        { lag_ms?: number; frozen?: boolean }
      >(req);
      this.#lagMs = lag_ms ?? this.#lagMs;
      this.#frozenAt = frozen === true
        ? performance.now() - this.#lagMs
        : undefined;
      return {};
    });
    this.#server = new StandInServer(app);
  }

  start(): Promise<string> {
    return this.#server.start();
  }

  stop(): Promise<void> {
    return this.#server.stop();
  }

  /** Sets the current VMs, which are published after the lag. */
  set(vms: readonly PublishedVm[]): void {
    this.#versions.push({ at: performance.now(), vms });
  }

  /** Returns the VMs that are published now. */
  published(): readonly PublishedVm[] {
    const publishedUntil = this.#frozenAt ?? performance.now() - this.#lagMs;
    const first =
      this.#versions.length > 1 && this.#versions[0]!.vms.length === 0 ? 1 : 0;
    const visible = this.#versions.filter(({ at }, index) =>
      at <= publishedUntil || index === first
    );
    return visible.at(-1)!.vms;
  }

  /** Returns a region's endpoints and all entries, or 304 if the reader's ETag still matches. */
  #list(request: Request, region: string | null): Response {
    const vms = this.published().filter((vm) =>
      region === null || vm.region === region || vm.role === "entry"
    );
    const body = JSON.stringify({ vms });
    const etag = `"${sha256(body).slice(0, ETAG_LENGTH)}"`;
    if (request.headers.get("if-none-match") === etag) {
      return new Response(null, { status: 304, headers: { etag } });
    }
    return new Response(body, {
      headers: { etag, "content-type": "application/json" },
    });
  }

  #listEntries(region: string | null): { entries: string[] } {
    const entries = this.published().filter((vm) =>
      vm.role === "entry" && (region === null || vm.region === region)
    );
    return { entries: entries.map(({ url }) => url) };
  }
}
