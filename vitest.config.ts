import type { Reporter, TestModule } from "vitest/node";
import { defineConfig } from "vitest/config";

/** Prints one plain line that any CI can read. */
class CountLine implements Reporter {
  onTestRunEnd(modules: readonly TestModule[]): void {
    const tests = modules.flatMap((module) => [...module.children.allTests()]);
    const failed =
      tests.filter((test) => test.result().state === "failed").length +
      modules.filter((module) =>
        module.state() === "failed" && module.errors().length > 0
      ).length;
    const passed =
      tests.filter((test) => test.result().state === "passed").length;
    console.log(`${passed} passed, ${failed} failed`);
  }
}

export default defineConfig({
  resolve: { conditions: ["source"] },
  ssr: { resolve: { conditions: ["source"] } },
  test: {
    include: ["**/__tests__/**/*.test.ts"],
    exclude: ["**/node_modules/**", "**/dist/**"],
    reporters: ["default", new CountLine()],
    setupFiles: ["./vitest.setup.ts"],
    testTimeout: 60_000,
    hookTimeout: 60_000,
  },
});
