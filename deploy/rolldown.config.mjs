/**
 * Bundles the entry into one file: a start then reads one file and not some hundred.
 */
import { fileURLToPath } from "node:url";

export default {
  input: "platform/src/main.ts",
  platform: "node",
  resolve: {
    conditionNames: ["source", "node", "import", "default"],
    alias: {
      undici$: fileURLToPath(new URL("undici.mjs", import.meta.url)),
    },
  },
  output: {
    file: "target/entry.cjs",
    format: "cjs",
    codeSplitting: false,
  },
};
