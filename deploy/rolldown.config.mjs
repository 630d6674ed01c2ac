/**
 * Bundles the entry into one file: a start then reads one file and not some hundred.
 */
export default {
  input: "platform/src/main.ts",
  platform: "node",
  resolve: { conditionNames: ["source", "node", "import", "default"] },
  output: {
    file: "target/entry.mjs",
    format: "esm",
    codeSplitting: false,
  },
};
