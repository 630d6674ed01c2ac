/**
 * Entries as processes of their own, so that they can be paused, killed and stopped.
 *
 * @module
 */
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { openSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { SETTINGS_VARIABLE } from "@sassafrasstep/platform";
import {
  type ByteEntry,
  freePorts,
  type LocalPlace,
  PORTS,
  settingsOf,
} from "./entry_place.ts";

const PROGRAM = fileURLToPath(
  new URL("../../../platform/dist/main.js", import.meta.url),
);

/** One entry's process, its log beside its settings. */
export class ProcessEntry implements ByteEntry {
  readonly callers: string;
  readonly readiness: string;
  readonly control: string;
  readonly #process: ChildProcess;

  private constructor({ host }: LocalPlace, ports: readonly number[], {
    process,
  }: { process: ChildProcess }) {
    this.callers = `${host}:${ports[0]}`;
    this.readiness = `${host}:${ports[2]}`;
    this.control = `${host}:${ports[3]}`;
    this.#process = process;
  }

  /** Starts one whose files stand in a folder. */
  static async start(place: LocalPlace, folder: string): Promise<ProcessEntry> {
    const ports = await freePorts(place.host, PORTS);
    const settings = join(folder, `${place.name}.ini`);
    writeFileSync(settings, settingsOf(place, ports));
    const log = openSync(join(folder, `${place.name}.log`), "a");
    const process_ = spawn(process.execPath, [PROGRAM], {
      env: { [SETTINGS_VARIABLE]: settings },
      stdio: ["ignore", log, log],
    });
    return new ProcessEntry(place, ports, { process: process_ });
  }

  get running(): boolean {
    return this.#process.exitCode === null && this.#process.signalCode === null;
  }

  /** Sends its process a signal, if it still runs. */
  signal(name: "SIGSTOP" | "SIGCONT" | "SIGTERM" | "SIGKILL"): void {
    if (this.running) {
      this.#process.kill(name);
    }
  }

  /** Ends it, whatever it does. */
  async stop(): Promise<void> {
    if (this.running) {
      const ended = once(this.#process, "exit");
      this.signal("SIGKILL");
      await ended;
    }
  }
}
