/**
 * Entries in their own processes, which can be killed, stopped and paused.
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
  allocatePorts,
  type EntryOptions,
  formatSettings,
  type LogLine,
  PORTS_PER_ENTRY,
} from "./local_entry.ts";

const PROGRAM = fileURLToPath(
  new URL("../../../platform/dist/main.js", import.meta.url),
);

/** An entry in its own process. */
export class ProcessEntry {
  readonly callers: string;
  readonly readiness: string;
  readonly control: string;
  readonly #folder = mkdtempSync(join(tmpdir(), "entry-"));
  readonly #lines: LogLine[] = [];
  readonly #settings: string;
  #process: ChildProcess;
  #exited: Promise<unknown>;

  private constructor(options: EntryOptions, ports: readonly number[]) {
    this.callers = `${options.host}:${ports[0]}`;
    this.readiness = `${options.host}:${ports[2]}`;
    this.control = `${options.host}:${ports[3]}`;
    this.#settings = join(this.#folder, "entry.ini");
    writeFileSync(this.#settings, formatSettings(options, ports));
    this.#process = this.#spawn();
    this.#exited = once(this.#process, "exit");
  }

  #spawn(): ChildProcess {
    const child = spawn(process.execPath, [PROGRAM], {
      env: { [SETTINGS_PATH_VARIABLE]: this.#settings },
      stdio: ["ignore", "pipe", "inherit"],
    });
    // Kills the entry if the test run exits first.
    const kill = (): void => void child.kill("SIGKILL");
    process.once("exit", kill);
    child.once("exit", () => process.off("exit", kill));
    createInterface(child.stdout!).on("line", (text) => {
      const { msg, ...fields } = JSON.parse(text);
      this.#lines.push({ text: msg, fields });
    });
    return child;
  }

  /** Kills the process and starts another one with the same addresses. */
  async restart(): Promise<void> {
    this.signal("SIGKILL");
    await this.#exited;
    this.#process = this.#spawn();
    this.#exited = once(this.#process, "exit");
  }

  /** Spawns an entry without waiting until it is ready. */
  static start(options: EntryOptions): Promise<ProcessEntry> {
    return Promise.resolve(
      new ProcessEntry(options, allocatePorts(PORTS_PER_ENTRY)),
    );
  }

  /** The log lines, or only those with the given text. */
  lines(text?: string): readonly LogLine[] {
    return this.#lines.filter((line) =>
      text === undefined || line.text === text
    );
  }

  get running(): boolean {
    return this.#process.exitCode === null && this.#process.signalCode === null;
  }

  /** Sends a signal to the process. */
  signal(name: NodeJS.Signals): void {
    this.#process.kill(name);
  }

  /** Waits for the exit; resolves with the exit code or the signal that terminated the process. */
  async exitStatus(): Promise<number | NodeJS.Signals | null> {
    await this.#exited;
    return this.#process.exitCode ?? this.#process.signalCode;
  }

  /** Kills the process in any state and removes its files. */
  async stop(): Promise<void> {
    this.signal("SIGKILL");
    await this.#exited;
    rmSync(this.#folder, { recursive: true });
  }
}
