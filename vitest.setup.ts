import fc from "fast-check";
import { beforeEach } from "vitest";
import { knownRedLine } from "./vitest.known_red.ts";

// The same random cases in every run, so that a verdict never depends on luck.
fc.configureGlobal({ seed: 20_261_202 });

beforeEach(({ task, skip }) => {
  const line = knownRedLine(task);
  if (line !== undefined) {
    console.log(`Known red: ${line}`);
    skip();
  }
});
