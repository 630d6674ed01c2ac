/**
 * Copies the project and removes guards from the copy.
 *
 * @module
 */
import {
  cpSync,
  existsSync,
  mkdirSync,
  readdirSync,
  readFileSync,
  symlinkSync,
  writeFileSync,
} from "node:fs";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import type { Guard } from "./guard.ts";
import { editsOf } from "./guard_list.ts";

/** Root of the project. */
export const ROOT = fileURLToPath(new URL("../../../", import.meta.url));
const PACKAGE_FOLDERS = {
  core: "packages/core",
  daemon: "packages/daemon",
  cli: "packages/cli",
  platform: "platform",
  playground: "playground",
  soak: "soak",
};
const COPIED_PATHS = [
  "packages",
  "platform",
  "playground",
  "soak",
  "examples",
  // Lists tests that are known to fail. Without it they would fail in every copy.
  "KNOWN-RED.txt",
  "package.json",
  "tsconfig.base.json",
  "tsconfig.json",
  "vitest.config.ts",
  "vitest.setup.ts",
  "vitest.known_red.ts",
];
/** Copies the project to a folder and links its modules. */
export function copyProject(folder: string): void {
  for (
    const name of COPIED_PATHS.filter((path) => existsSync(join(ROOT, path)))
  ) {
    const filter = (path: string): boolean =>
      !path.includes("/dist") && !path.includes("/node_modules");
    cpSync(join(ROOT, name), join(folder, name), { recursive: true, filter });
  }
  const modules = join(folder, "node_modules");
  mkdirSync(join(modules, "@sassafrasstep"), { recursive: true });
  for (const name of readdirSync(join(ROOT, "node_modules"))) {
    if (name !== "@sassafrasstep") {
      symlinkSync(join(ROOT, "node_modules", name), join(modules, name));
    }
  }
  for (const [name, path] of Object.entries(PACKAGE_FOLDERS)) {
    symlinkSync(join(folder, path), join(modules, "@sassafrasstep", name));
  }
}

/** Removes a guard from a copy of the project. */
export function removeGuard(guard: Guard, folder: string): void {
  for (const { file, find, replace } of editsOf(guard)) {
    const path = join(folder, file);
    const text = readFileSync(path, "utf8");
    writeFileSync(path, text.replace(find, () => replace));
  }
}
