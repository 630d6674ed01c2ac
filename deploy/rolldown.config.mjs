/**
 * Bundles the entry into one file: a start then reads one file and not some hundred. Compiles it ahead, so that a
 * start does not have to.
 */
import { spawnSync } from "node:child_process";
import { copyFileSync, existsSync, readFileSync, rmSync } from "node:fs";
import { dirname, join, resolve } from "node:path";
import { fileURLToPath } from "node:url";

const COMPILE_TIMEOUT_MS = 20_000;

function pathOf(name) {
  return fileURLToPath(new URL(name, import.meta.url));
}

/** Node's options in the run line: compiled code is only taken by a process with the same ones. */
export function runOptions() {
  const text = readFileSync(pathOf("system.toml"), "utf8");
  return /^run = "node (.*) \S+"$/m.exec(text)?.[1].split(" ") ?? [];
}

/** Starts the bundle without settings, upon which it ends at once, and keeps what was compiled until then. */
function compileAhead({ file }) {
  const folder = dirname(resolve(file));
  const start = join(folder, "start.cjs");
  const cache = join(folder, "entry.cache");
  copyFileSync(pathOf("start.cjs"), start);
  rmSync(cache, { force: true });
  const { error } = spawnSync(process.execPath, [...runOptions(), start], {
    env: { COMPILE_AHEAD: "1" },
    stdio: "ignore",
    timeout: COMPILE_TIMEOUT_MS,
  });
  if (error !== undefined || !existsSync(cache)) {
    console.warn("Cannot compile the bundle ahead: starts will take longer");
  }
}

export default {
  input: "platform/src/main.ts",
  platform: "node",
  resolve: {
    conditionNames: ["source", "node", "import", "default"],
    alias: {
      undici$: pathOf("undici.mjs"),
      "hdr-histogram-js$": pathOf("no_histogram.mjs"),
      "./client-h2.js$": pathOf("no_http2.cjs"),
    },
  },
  plugins: [{ name: "compile-ahead", writeBundle: compileAhead }],
  output: {
    file: "target/entry.cjs",
    format: "cjs",
    codeSplitting: false,
  },
};
