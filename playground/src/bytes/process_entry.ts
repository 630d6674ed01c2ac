/**
 * Entries in processes of their own, which can be killed, stopped and paused.
 *
 * @module
 */
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { createInterface } from "node:readline";
import { fileURLToPath } from "node:url";
import { SETTINGS_PATH_VARIABLE } from "@sassafrasstep/platform";
import {
  freePorts,
  type Line,
  type LocalPlace,
  PORTS,
  settingsOf,
} from "./local_entry.ts";

const PROGRAM = fileURLToPath(
  new URL("../../../platform/dist/main.js", import.meta.url),
);

/** One entry. */
export class ProcessEntry {
  readonly callers: string;
  readonly readiness: string;
  readonly control: string;
  readonly #folder = mkdtempSync(join(tmpdir(), "entry-"));
  readonly #lines: Line[] = [];
  readonly #process: ChildProcess;
  readonly #exited: Promise<unknown>;

  private constructor(place: LocalPlace, ports: readonly number[]) {
    this.callers = `${place.host}:${ports[0]}`;
    this.readiness = `${place.host}:${ports[2]}`;
    this.control = `${place.host}:${ports[3]}`;
    const settings = join(this.#folder, "entry.ini");
    writeFileSync(settings, settingsOf(place, ports));
    this.#process = spawn(process.execPath, [PROGRAM], {
      env: { [SETTINGS_PATH_VARIABLE]: settings },
      stdio: ["ignore", "pipe", "inherit"],
    });
    this.#exited = once(this.#process, "exit");
    // A test run that is ended takes its entries with it.
    const end = (): void => this.signal("SIGKILL");
    process.once("exit", end);
    void this.#exited.then(() => process.off("exit", end));
    createInterface(this.#process.stdout!).on("line", (text) => {
      const { msg, ...fields } = JSON.parse(text);
      this.#lines.push({ text: msg, fields });
    });
  }

  /** Starts one. */
  static start(place: LocalPlace): Promise<ProcessEntry> {
    return Promise.resolve(new ProcessEntry(place, freePorts(PORTS)));
  }

  /** Its lines, those that say a sentence where one is given. */
  lines(text?: string): readonly Line[] {
    return this.#lines.filter((line) =>
      text === undefined || line.text === text
    );
  }

  get running(): boolean {
    return this.#process.exitCode === null && this.#process.signalCode === null;
  }

  /** Sends it a signal. */
  signal(name: NodeJS.Signals): void {
    this.#process.kill(name);
  }

  /** Resolves with its exit code, or the signal that ended it. */
  async ended(): Promise<number | NodeJS.Signals | null> {
    await this.#exited;
    return this.#process.exitCode ?? this.#process.signalCode;
  }

  /** Ends it, in whatever state it is. */
  async stop(): Promise<void> {
    this.signal("SIGKILL");
    await this.#exited;
    rmSync(this.#folder, { recursive: true });
  }
}
