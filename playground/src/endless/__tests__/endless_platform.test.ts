import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import {
  allocatePorts,
  NETWORK_PREFIX,
  ProcessEntry,
} from "../../bytes/index.ts";
import { Child } from "../../fleet/index.ts";
import { Draw, EndlessServer, peakMemoryOf } from "../index.ts";

const MEGABYTE = 1_000_000;
const SEED = Number(process.env.DRAWN_SEED ?? 1);
const MEMORY_LIMIT_BYTES = 350 * MEGABYTE;
/** Time for which the reads are answered without end. */
const PLAY_MS = Number(process.env.DRAWN_MS ?? 5_000);
const ANSWER_MS = 1_000;
const HOST = `${NETWORK_PREFIX}.77`;

// Guards against a store or a service of the platform that fills the memory of the entries that read from it.
describe.concurrent("a platform that sends drawn bytes without end", () => {
  const draw = new Draw(SEED);
  const requests: string[] = [];
  const server = new EndlessServer((request) => {
    requests.push(request);
    return {
      kind: "endless",
      shape: draw.shape(),
      pace: draw.pace(),
      context: { call: "read", stream: false, firstEvent: 1 },
    };
  });
  let address: string;

  beforeAll(async () => {
    address = await server.listen();
  });
  afterAll(() => server.close());

  /** Whether the control address of an entry answers in time. */
  async function answers(url: string): Promise<boolean> {
    const answer = await fetch(url, { signal: AbortSignal.timeout(ANSWER_MS) });
    await answer.text();
    return answer.status < 600;
  }

  it("leaves the platform's entry its memory and its time", async () => {
    const entry = await ProcessEntry.start({
      name: "entry-1",
      host: HOST,
      zone: "a-1",
      region: "a",
      peerPort: allocatePorts(1)[0]!,
      seeds: [`${HOST}:1`],
      zones: { "a-1": "a" },
      storeAddress: address,
    });
    try {
      await sleep(PLAY_MS);
      expect(await answers(`http://${entry.readiness}/api/ready`)).toBe(true);
      expect(entry.running).toBe(true);
      const peak = peakMemoryOf(entry.pid);
      if (process.env.DRAWN_PRINT !== undefined) {
        console.log(`seed ${SEED}: platform's entry ${peak / MEGABYTE} MB`);
      }
      expect(peak).toBeLessThan(MEMORY_LIMIT_BYTES);
    } finally {
      await entry.stop();
    }
  });

  it("leaves the own interface's entry its memory and its time", async () => {
    const folder = mkdtempSync(join(tmpdir(), "endless-"));
    const settings = join(folder, "entry.ini");
    writeFileSync(
      settings,
      `[entry]
id = entry-1
deployment = peachtree
region = atlanta
zone = atlanta-a
listen = 127.0.0.1:0
control = 127.0.0.1:0
secret = playground-secret-0123456789

[platform]
configuration_url = http://${address}
vm_list_url = http://${address}
`,
    );
    const child = new Child("packages/daemon/dist/main.js", [
      "--settings",
      settings,
    ]);
    try {
      const { localUrl } = await child.waitForLineWith<{ localUrl: string }>(
        "localUrl",
      );
      await sleep(PLAY_MS);
      expect(await answers(`${localUrl}/v1/entries`)).toBe(true);
      expect(child.process.exitCode).toBe(null);
      const peak = peakMemoryOf(child.pid);
      if (process.env.DRAWN_PRINT !== undefined) {
        const reads = requests.filter((text) => text.startsWith("GET /v1"));
        console.log(
          `seed ${SEED}: own entry ${peak / MEGABYTE} MB, ` +
            `${reads.length} of ${requests.length} reads its own, ` +
            `sent ${server.sentBytes / MEGABYTE} MB`,
        );
      }
      expect(peak).toBeLessThan(MEMORY_LIMIT_BYTES);
    } finally {
      await child.kill();
      rmSync(folder, { recursive: true });
    }
  });
});
