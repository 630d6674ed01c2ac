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

/** Processes that have not exited; they are killed if the test run exits first. */
const RUNNING = new Set<ChildProcess>();
process.once("exit", () => RUNNING.forEach((child) => child.kill("SIGKILL")));

/** How the process of an entry is started. */
export interface ProcessOptions {
  /** Path of the program, by default the platform's. */
  readonly program?: string;
  readonly env?: Readonly<Record<string, string>>;
  /** Whether the program receives messages. */
  readonly messages?: boolean;
}

/** An entry in its own process. */
export class ProcessEntry {
  readonly callers: string;
  readonly directory: string;
  readonly readiness: string;
  readonly control: string;
  readonly #folder = mkdtempSync(join(tmpdir(), "entry-"));
  readonly #lines: LogLine[] = [];
  readonly #settings: string;
  readonly #settingsText: string;
  readonly #options: ProcessOptions;
  #process: ChildProcess;
  #exited: Promise<unknown>;

  private constructor(
    options: EntryOptions,
    { ports, process }: {
      ports: readonly number[];
      process: ProcessOptions;
    },
  ) {
    this.#options = process;
    this.callers = `${options.host}:${ports[0]}`;
    this.directory = `${options.host}:${ports[1]}`;
    this.readiness = `${options.host}:${ports[2]}`;
    this.control = `${options.host}:${ports[3]}`;
    this.#settings = join(this.#folder, "entry.ini");
    this.#settingsText = formatSettings(options, ports);
    this.changeSettings((text) => text);
    this.#process = this.#spawn();
    this.#exited = once(this.#process, "exit");
  }

  #spawn(): ChildProcess {
    const { program = PROGRAM, env = {}, messages = false } = this.#options;
    const child = spawn(process.execPath, [program], {
      env: { ...env, [SETTINGS_PATH_VARIABLE]: this.#settings },
      stdio: ["ignore", "pipe", "inherit", ...messages ? ["ipc" as const] : []],
    });
    RUNNING.add(child);
    child.once("exit", () => RUNNING.delete(child));
    createInterface(child.stdout!).on("line", (text) => {
      const { msg, ...fields } = JSON.parse(text);
      this.#lines.push({ text: msg, fields });
    });
    return child;
  }

  /** Writes the settings file with changes to its first text. The process reads it at a SIGHUP. */
  changeSettings(change: (text: string) => string): void {
    writeFileSync(this.#settings, change(this.#settingsText));
  }

  /** Kills the process and starts another one with the same addresses. */
  async restart(): Promise<void> {
    this.signal("SIGKILL");
    await this.#exited;
    this.#process = this.#spawn();
    this.#exited = once(this.#process, "exit");
  }

  /** Spawns an entry without waiting until it is ready. */
  static start(
    options: EntryOptions,
    process: ProcessOptions = {},
  ): Promise<ProcessEntry> {
    const ports = allocatePorts(PORTS_PER_ENTRY);
    return Promise.resolve(new ProcessEntry(options, { ports, process }));
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

  /** Id of the process. */
  get pid(): number {
    return this.#process.pid!;
  }

  /** Sends a message to the process, if it runs. */
  send(message: object): void {
    if (this.#process.connected) {
      this.#process.send(message, () => {});
    }
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
