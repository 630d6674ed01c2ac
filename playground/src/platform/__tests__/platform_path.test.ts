import { spawnSync } from "node:child_process";
import { once } from "node:events";
import { readFileSync, writeFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import { HEADERS, STORE_KEYS } from "@sassafrasstep/platform";
import { Agent } from "undici";
import { afterAll, beforeAll, beforeEach, describe, expect, it } from "vitest";
import {
  callPlatform,
  eventually,
  PlatformFleet,
  route,
  ROUTES,
  StandInEndpoint,
} from "../index.ts";

const EVENTS = [1, 2, 3, 4, 5].map((id) => `id: ${id}\ndata: event ${id}\n\n`)
  .join("");

describe("the whole path on the platform's protocol", () => {
  const fleet = new PlatformFleet();

  beforeAll(async () => {
    await fleet.prepare();
    await fleet.start(3);
  });
  afterAll(() => fleet.close());
  beforeEach(() => {
    fleet.endpoints.forEach((endpoint) => endpoint.fault = "none");
  });

  const firstEntryAddress = (): string => fleet.entries[0]!.callers;
  const runCount = (call: string): number =>
    fleet.endpoints.flatMap(({ executedCalls }) => executedCalls).filter((
      run,
    ) => run === call)
      .length;

  describe("a request", () => {
    it("gets the endpoint's answer with its seal", async () => {
      const answer = await callPlatform(firstEntryAddress(), {
        path: "/once/a?b=c",
        call: "c1",
        body: "badge",
      });
      expect(answer.status).toBe(200);
      expect(answer.body).toBe(StandInEndpoint.responseBody("c1"));
      expect(answer.headers[HEADERS.seal]).toBe("seal-c1");
      const received = fleet.endpoints.flatMap(({ requests }) => requests).find(
        (
          { headers },
        ) => headers[HEADERS.callId] === "c1",
      );
      expect(received?.url).toBe("/once/a?b=c");
      expect(received?.method).toBe("POST");
      expect(Number(received?.headers[HEADERS.timeLeft])).toBeLessThanOrEqual(
        3_000,
      );
    });

    it("does not pass on caller headers that only the system may set", async () => {
      await callPlatform(firstEntryAddress(), {
        path: "/again/x",
        call: "c2",
        headers: { "kv-from": "1.2.3.4:5/6", "x-cache-hold": "h" },
      });
      const received = fleet.endpoints.flatMap(({ requests }) => requests).find(
        (
          { headers },
        ) => headers[HEADERS.callId] === "c2",
      );
      expect(received?.headers["kv-from"]).toBeUndefined();
      expect(received?.headers["x-cache-hold"]).toBeUndefined();
    });

    it("that matches no route gets a 404", async () => {
      const answer = await callPlatform(firstEntryAddress(), {
        path: "/no/x",
        call: "c3",
      });
      expect(answer.status).toBe(404);
    });

    it("that is too large gets a 413", async () => {
      const answer = await callPlatform(firstEntryAddress(), {
        path: "/once/x",
        call: "c4",
        body: "x".repeat(70_000),
      });
      expect(answer.status).toBe(413);
      expect(runCount("c4")).toBe(0);
    });

    it("that every endpoint refuses gets a 503 with a retry time", async () => {
      fleet.endpoints.forEach((endpoint) => endpoint.fault = "full");
      const answer = await callPlatform(firstEntryAddress(), {
        path: "/once/x",
        call: "c5",
        body: "badge",
      });
      expect(answer.status).toBe(503);
      expect(Number(answer.headers[HEADERS.retryAfter])).toBeGreaterThan(0);
      expect(runCount("c5")).toBe(0);
    });

    it("that may have run gets a 502 and runs once", async () => {
      fleet.endpoints.forEach((endpoint) => endpoint.fault = "breaks");
      const answer = await callPlatform(firstEntryAddress(), {
        path: "/once/x",
        call: "c6",
        body: "badge",
      });
      expect(answer.status).toBe(502);
      expect(runCount("c6")).toBe(1);
    });

    it("that may be repeated is answered by another endpoint", async () => {
      fleet.endpoints[0]!.fault = "breaks";
      for (let index = 0; index < 6; index++) {
        const answer = await callPlatform(firstEntryAddress(), {
          path: "/again/x",
          call: `c7-${index}`,
        });
        expect(answer.status).toBe(200);
      }
    });
  });

  describe("a stream", () => {
    it("passes through byte for byte", async () => {
      const answer = await callPlatform(firstEntryAddress(), {
        path: "/stream/x",
        call: "s1",
        tokens: "100,5",
        body: "q",
      });
      expect(answer.status).toBe(200);
      expect(answer.body).toBe(EVENTS);
    });

    it("continues at another engine where its route allows it", async () => {
      fleet.endpoints[2]!.fault = "torn";
      for (let index = 0; index < 4; index++) {
        const answer = await callPlatform(firstEntryAddress(), {
          path: "/resume/x",
          call: `s2-${index}`,
          tokens: "100,5",
          body: "q",
        });
        expect(answer.body).toBe(EVENTS);
      }
    });

    it("is broken off visibly where its route does not allow it", async () => {
      fleet.endpoints[2]!.fault = "torn";
      fleet.endpoints[3]!.fault = "torn";
      await expect(callPlatform(firstEntryAddress(), {
        path: "/stream/x",
        call: "s3",
        tokens: "100,5",
        body: "q",
      })).rejects.toThrow();
    });
  });

  describe("the operators' document", () => {
    it("takes effect at every entry, and removes routes that it no longer contains", async () => {
      fleet.publishDocument([
        ...ROUTES,
        route("extra", { kind: "idempotent", service: "plain" }),
      ]);
      for (const { callers } of fleet.entries) {
        await eventually(async () => {
          const answer = await callPlatform(callers, {
            path: "/extra/x",
            call: "d1",
          });
          return answer.status === 200;
        });
      }
      fleet.publishDocument(ROUTES);
      for (const { callers } of fleet.entries) {
        await eventually(async () => {
          const answer = await callPlatform(callers, {
            path: "/extra/x",
            call: "d2",
          });
          return answer.status === 404;
        });
      }
    });
  });

  describe("an endpoint that leaves", () => {
    it("gets no more requests", async () => {
      const [leaving] = fleet.endpoints;
      fleet.store.remove(`${STORE_KEYS.endpoint}${leaving!.id}`);
      await eventually(async () => {
        const before = leaving!.requests.length;
        for (let index = 0; index < 4; index++) {
          await callPlatform(firstEntryAddress(), {
            path: "/again/x",
            call: "e1",
          });
        }
        return leaving!.requests.length === before;
      });
    });
  });

  /**
   * Symptom: entries exit when their settings change.
   * Sequence: the settings file is rewritten and the process gets SIGHUP; then the same with faulty settings.
   * Cause: SIGHUP terminates a process that has no listener for it.
   */
  describe("changed settings", () => {
    it("are read without interruption, and faulty ones change nothing", async () => {
      const { settings, process: child, callers } = fleet.entries[1]!;
      const text = readFileSync(settings, "utf8");
      for (const changed of [text.replace("stop_s = 8", "stop_s = 7"), "["]) {
        writeFileSync(settings, changed);
        child.kill("SIGHUP");
        for (let index = 0; index < 10; index++) {
          const answer = await callPlatform(callers, {
            path: "/again/x",
            call: `h${index}`,
          });
          expect(answer.status).toBe(200);
        }
      }
      expect(child.exitCode).toBeNull();
    });
  });

  describe("operators", () => {
    const run = (program: string, ...args: string[]): {
      code: number | null;
      text: string;
    } => {
      const path = fileURLToPath(
        new URL(`../../../../${program}`, import.meta.url),
      );
      const result = spawnSync(process.execPath, [path, ...args], {
        encoding: "utf8",
      });
      return { code: result.status, text: result.stdout + result.stderr };
    };

    it("see the state of an entry", () => {
      const url = `http://${fleet.entries[0]!.control}`;
      const { code, text } = run("packages/cli/dist/main.js", "gateway", url);
      expect(text).toContain("entry-1 (a-1, a), ready");
      expect(text).toContain("i-e1");
      expect(code).toBe(0);
      expect(
        run("packages/cli/dist/main.js", "gateway", "http://127.0.0.1:1").code,
      )
        .toBe(1);
    });

    it("are told that a request is not held", () => {
      const url = `http://${fleet.entries[0]!.control}`;
      const cli = "packages/cli/dist/main.js";
      const { code, text } = run(cli, "release", url, "no-such-digest");
      expect(text).toContain("Request no-such-digest is not held back");
      expect(code).toBe(1);
    });

    it("check settings, and see what is wrong", () => {
      const { settings } = fleet.entries[0]!;
      const program = "platform/dist/main.js";
      expect(run(program, "--check", settings).code).toBe(0);
      const faulty = `${settings}.faulty`;
      writeFileSync(
        faulty,
        readFileSync(settings, "utf8").replace("zone =", "zne ="),
      );
      const { code, text } = run(program, "--check", faulty);
      expect(code).toBe(2);
      expect(text).toContain('unknown name "zne"');
    });
  });

  describe("a stopping entry", () => {
    it("leaves the directory, answers its open connections, and exits", async () => {
      const [stopping, other] = [fleet.entries[2]!, fleet.entries[0]!];
      await eventually(async () =>
        (await fleet.listedAddresses(other, "kiosk.example")).length === 3
      );
      const dispatcher = new Agent({
        connections: 1,
        keepAliveTimeout: 20_000,
      });
      const call = (id: string): Promise<{ status: number }> =>
        callPlatform(stopping.callers, {
          path: "/again/x",
          call: id,
          dispatcher,
        });
      expect((await call("t1")).status).toBe(200);
      stopping.process.kill("SIGTERM");
      await eventually(async () =>
        (await fleet.listedAddresses(other, "kiosk.example")).length === 2
      );
      expect((await call("t2")).status).toBe(200);
      const [code] = await once(stopping.process, "exit");
      expect(code).toBe(0);
      await dispatcher.close();
    });
  });
});
