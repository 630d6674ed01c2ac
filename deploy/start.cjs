/**
 * Starts the bundle beside this file with the code that the build compiled. Compiling it anew would delay
 * each start. A Node that does not take the code compiles the bundle as usual.
 */
const { existsSync, readFileSync, writeFileSync } = require("node:fs");
const Module = require("node:module");
const { join } = require("node:path");
const { Script } = require("node:vm");

const filename = join(__dirname, "entry.cjs");
const cacheFile = join(__dirname, "entry.cache");

const bundle = new Module(filename, module);
bundle.filename = filename;
bundle.paths = module.paths;
const script = new Script(Module.wrap(readFileSync(filename, "utf8")), {
  filename,
  cachedData: existsSync(cacheFile) ? readFileSync(cacheFile) : undefined,
});

// Set by the build. At the exit, so that the functions that a start calls are compiled too.
if (process.env.COMPILE_AHEAD !== undefined) {
  process.on("exit", () => writeFileSync(cacheFile, script.createCachedData()));
}

script.runInThisContext().call(
  bundle.exports,
  bundle.exports,
  (id) => bundle.require(id),
  bundle,
  filename,
  __dirname,
);
