import { readFileSync } from "node:fs";
import { HEADERS } from "@sassafrasstep/platform";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { callPlatform, PlatformFleet, ROUTES } from "../index.ts";

const MEGABYTE = 1_000_000;
const BODY = "x".repeat(4 * MEGABYTE);
const REQUESTS = 60;
/** What an entry of the smallest deployments may use. */
const MEMORY_MB = 350;
const UPLOADING_CALLERS = 6;
const UPLOADS_PER_CALLER = 25;
/** What a few callers that upload one body after the other may take. */
const UPLOAD_MEMORY_MB = 200;

/** The most memory that a process has used, in bytes. */
function peakMemoryOf({ pid }: { pid?: number | undefined }): number {
  const status = readFileSync(`/proc/${pid}/status`, "utf8");
  return Number(/^VmHWM:\s+(\d+) kB$/m.exec(status)![1]) * 1_024;
}

// Guards against an entry that the platform kills because of the bodies that it holds.
describe("large bodies at once", () => {
  const fleet = new PlatformFleet({
    memoryMegabytes: MEMORY_MB,
    bodyBytes: BODY.length,
  });

  beforeAll(async () => {
    await fleet.prepare();
    fleet.publishDocument(ROUTES);
    await fleet.start(1);
    fleet.endpoints.forEach((endpoint) => endpoint.delayMs = 500);
  });
  afterAll(() => fleet.close());

  it("keep an entry within its memory, and those refused may return", async () => {
    const { callers, process } = fleet.entries[0]!;
    const answers = await Promise.all(
      Array.from({ length: REQUESTS }, (_, index) =>
        callPlatform(callers, {
          path: "/again/x",
          call: `large-${index}`,
          body: BODY,
        }).catch(() => undefined)),
    );
    expect(peakMemoryOf(process)).toBeLessThan(MEMORY_MB * MEGABYTE);
    const served = answers.filter((answer) => answer?.status === 200);
    expect(served.length).toBeGreaterThan(0);
    for (const answer of answers) {
      // A connection that is closed while its caller still writes shows no answer.
      if (answer !== undefined && answer.status !== 200) {
        expect(answer.status).toBe(503);
        expect(Number(answer.headers[HEADERS.retryAfter])).toBeGreaterThan(0);
      }
    }
  });
});

// Guards against connections that keep the body of the request that opened them.
describe("large bodies one after the other", () => {
  const fleet = new PlatformFleet({
    memoryMegabytes: MEMORY_MB,
    bodyBytes: BODY.length,
  });

  beforeAll(async () => {
    await fleet.prepare();
    fleet.publishDocument(ROUTES);
    await fleet.start(1);
  });
  afterAll(() => fleet.close());

  it("leave nothing behind on the connections to endpoints", async () => {
    const { callers, process } = fleet.entries[0]!;
    const upload = async (caller: number): Promise<void> => {
      for (let index = 0; index < UPLOADS_PER_CALLER; index++) {
        const { status } = await callPlatform(callers, {
          path: "/again/x",
          call: `upload-${caller}-${index}`,
          body: BODY,
        });
        expect(status).toBe(200);
      }
    };
    await Promise.all(
      Array.from({ length: UPLOADING_CALLERS }, (_, caller) => upload(caller)),
    );
    expect(peakMemoryOf(process)).toBeLessThan(UPLOAD_MEMORY_MB * MEGABYTE);
  });
});
