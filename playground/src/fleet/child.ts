/**
 * Child processes of the playground. Each is signalled and ended through its own process id.
 *
 * @module
 */
import { type ChildProcess, spawn } from "node:child_process";
import { createInterface } from "node:readline";
import { fileURLToPath } from "node:url";

const DIST = new URL("../../../", import.meta.url);
const MAX_KEPT_LINES = 200;
const START_TIMEOUT_MS = 20_000;

/** A Node process started from a built script, whose output lines are recorded. */
export class Child {
  readonly process: ChildProcess;
  /** The last lines printed to stdout and stderr, at most `MAX_KEPT_LINES`. */
  readonly lines: string[] = [];
  readonly exited: Promise<number | null>;
  readonly #lineListeners = new Set<(line: string) => void>();

  constructor(script: string, args: readonly string[]) {
    const path = fileURLToPath(new URL(script, DIST));
    this.process = spawn(process.execPath, [path, ...args], {
      stdio: ["ignore", "pipe", "pipe"],
    });
    for (const stream of [this.process.stdout!, this.process.stderr!]) {
      createInterface({ input: stream }).on(
        "line",
        (line) => this.#recordLine(line),
      );
    }
    this.exited = new Promise((resolve) =>
      this.process.once("exit", (code) => resolve(code))
    );
  }

  get pid(): number {
    return this.process.pid!;
  }

  /** Resolves with the first JSON line, already printed or still to come, that has the given field. */
  async waitForLineWith<Line extends object>(field: string): Promise<Line> {
    return await new Promise<Line>((resolve, reject) => {
      const onLine = (line: string): void => {
        const parsed = parseLine(line);
        if (parsed !== undefined && field in parsed) {
          clearTimeout(timer);
          this.#lineListeners.delete(onLine);
          resolve(parsed as Line);
        }
      };
      const rejectWithOutput = (): void =>
        reject(
          new Error(
            `The process printed no JSON line with "${field}". Its last lines: ${
              this.lines.slice(-5).join("\n")
            }`,
          ),
        );
      const timer = setTimeout(rejectWithOutput, START_TIMEOUT_MS);
      void this.exited.then(rejectWithOutput);
      this.#lineListeners.add(onLine);
      this.lines.forEach(onLine);
    });
  }

  signal(name: NodeJS.Signals): void {
    if (this.process.exitCode === null && this.process.signalCode === null) {
      this.process.kill(name);
    }
  }

  /** Kills the process with SIGKILL and waits for its exit. */
  async kill(): Promise<void> {
    this.signal("SIGKILL");
    await this.exited;
  }

  #recordLine(line: string): void {
    this.lines.push(line);
    if (this.lines.length > MAX_KEPT_LINES) {
      this.lines.shift();
    }
    this.#lineListeners.forEach((listener) => listener(line));
  }
}

function parseLine(line: string): object | undefined {
  try {
    const value: unknown = JSON.parse(line);
    return typeof value === "object" && value !== null ? value : undefined;
  } catch {
    return undefined;
  }
}
