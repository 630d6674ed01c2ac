import { HEADERS, STORE_KEYS } from "@sassafrasstep/platform";
import { describe, expect, it } from "vitest";
import {
  ByteFleet,
  eventually,
  ProcessEntry,
  RawEngine,
  route,
} from "../../bytes/index.ts";
import { Draw } from "../../endless/index.ts";
import {
  bodyOf,
  eventCountOf,
  type SeenOutcome,
  sendTimed,
  TimedEndpoint,
  type TimedSend,
} from "../index.ts";

const FIRST_SEED = Number(process.env.DRAWN_SEED ?? 1);
const SEEDS = Number(process.env.DRAWN_SEEDS ?? 2);
const GRACE_S = 8;
const GRACE_MS = 1_000 * GRACE_S;
/** A run that lasts into this part of the grace may be cut, if its request was sent soon after the signal. */
const LAST_PART_MS = GRACE_MS * 5 / 6;
const SOON_MS = 3_000;
const DEADLINE_MS = 10_000;
/** The signal comes so long after the first request. */
const LEAD_MS = 1_500;
const SENDS = 70;
/** A refusal that comes later is not given at once; a connection that is closed later had read its request. */
const AT_ONCE_MS = 1_000;
const OK = 200;
const PROMISES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const KINDS = ["once", "again", "stream", "resume"] as const;
const SERVICES = ["near", "far"] as const;
const STOPPED = { callers: 0, relays: 2 } as const;

interface DrawnCall {
  readonly kind: typeof KINDS[number];
  readonly timeMs: number;
  readonly text: string;
}

// Guards against requests that a stopping entry takes and then cuts, or refuses as not run though they run.
describe("requests around a planned stop", () => {
  const calls = new Map<string, DrawnCall>();

  function drawSend(draw: Draw, { name, from, addresses }: {
    name: string;
    from: number;
    addresses: readonly string[];
  }): TimedSend {
    const count = draw.chance(0.25) ? draw.between(2, 3) : 1;
    const isSlow = draw.chance(0.25);
    const requests = Array.from({ length: count }, (_, index) => {
      const call = `call-${name}-${index}`;
      const kind = draw.oneOf(KINDS);
      const longest = draw.oneOf([60, 60, 700, 3_000, 9_000]);
      const timeMs = draw.between(5, longest);
      const body = isSlow ? "b".repeat(64) : draw.chance(0.5) ? "body" : "";
      const isChunked = draw.chance(0.3);
      const head = [
        `POST /${kind}-${draw.oneOf(SERVICES)}/run-${timeMs}-${call} HTTP/1.1`,
        "host: kiosk.example",
        `${HEADERS.callId}: ${call}`,
        `${HEADERS.timeLeft}: ${DEADLINE_MS}`,
        ...kind === "stream" || kind === "resume"
          ? [`${HEADERS.tokenCounts}: 10,100`]
          : [],
        isChunked
          ? "transfer-encoding: chunked"
          : `content-length: ${body.length}`,
        "\r\n",
      ].join("\r\n");
      const chunk = body === ""
        ? ""
        : `${body.length.toString(16)}\r\n${body}\r\n`;
      const text = `${kind} ${timeMs} ms, ${count} on the connection`;
      calls.set(call, { kind, timeMs, text });
      return { call, head, body: isChunked ? `${chunk}0\r\n\r\n` : body };
    });
    const warmUp = [
      "POST /once-near/run-5-call-warm HTTP/1.1",
      "host: kiosk.example",
      `${HEADERS.callId}: warm-${name}`,
      "content-length: 0",
      "\r\n",
    ].join("\r\n");
    return {
      address: draw.oneOf(addresses),
      requests,
      at: from + draw.between(0, LEAD_MS + GRACE_MS + 500),
      openBeforeMs: draw.chance(0.6) ? draw.between(50, 5_000) : undefined,
      warmUp,
      bodyMs: isSlow ? draw.between(100, 6_000) : 0,
    };
  }

  /** What is wrong with an outcome, `undefined` if nothing is. */
  function faultOf(
    { call, beganAt, sentAt, answer, cut, endedAt, freeAt }: SeenOutcome,
    { endpoint, signalAt }: { endpoint: TimedEndpoint; signalAt: number },
  ): string | undefined {
    const { kind, timeMs } = calls.get(call)!;
    const runs = endpoint.runs.filter((run) => run.call === call);
    const [run] = runs;
    if ((kind === "once" || kind === "stream") && runs.length > 1) {
      return `${runs.length} runs`;
    }
    if (answer !== undefined && PROMISES.has(answer.status)) {
      const retryAfter = Number(answer.headers.get("retry-after"));
      const wait = answer.at - Math.max(sentAt!, freeAt!);
      return run !== undefined
        ? `refused with ${answer.status}, has run`
        : !(retryAfter > 0)
        ? "refused without a time to return"
        : wait > AT_ONCE_MS
        ? `refused after ${Math.round(wait)} ms`
        : undefined;
    }
    if (answer?.status === OK) {
      const isStream = kind === "stream" || kind === "resume";
      const isWhole = isStream
        ? answer.body.split("\n\n").length - 1 === eventCountOf(timeMs)
        : answer.body === bodyOf(call);
      const isOverdue = answer.at - beganAt >= DEADLINE_MS - 200;
      return isWhole || isOverdue ? undefined : "answered in part";
    }
    const ended = answer?.at ?? endedAt;
    const workedUntil = run === undefined ? undefined : run.endedAt ?? ended;
    const excused = sentAt !== undefined && sentAt - signalAt <= SOON_MS &&
        workedUntil !== undefined && workedUntil - signalAt >= LAST_PART_MS ||
      ended - beganAt >= DEADLINE_MS - 200;
    if (excused) {
      return undefined;
    }
    if (answer !== undefined) {
      return `answered ${answer.status}`;
    }
    if (cut || run !== undefined) {
      return cut ? "cut within its answer" : "has run, cut without an answer";
    }
    return sentAt !== undefined && freeAt !== undefined &&
        endedAt - Math.max(sentAt, freeAt) > AT_ONCE_MS
      ? `closed ${Math.round(endedAt - sentAt)} ms after it was sent`
      : undefined;
  }

  const seeds = Array.from({ length: SEEDS }, (_, at) => FIRST_SEED + at);
  it.concurrent.each(seeds)(
    "are answered or refused, seed %i",
    async (seed) => {
      const draw = new Draw(seed);
      const endpoint = new TimedEndpoint();
      const fleet = new ByteFleet({
        engines: [{ engine: new RawEngine("i-x", () => ({ events: 1 })) }],
        entries: ["a", "a", "b", "b"],
        processes: true,
        stopSeconds: GRACE_S,
      });
      try {
        await fleet.start();
        fleet.store.put(STORE_KEYS.document, documentOf());
        const address = await endpoint.listen();
        for (const [index, service] of SERVICES.entries()) {
          const region = "ab"[index]!;
          fleet.publish(`i-${service}`, { address, region, service });
        }
        await eventually(async () =>
          (await Promise.all(
            SERVICES.flatMap((service) =>
              fleet.entries.map((_, entry) =>
                fleet.ask("known", {
                  entry,
                  path: `/again-${service}/run-5-call-known`,
                  time: 800,
                })
              )
            ),
          )).every(({ status }) => status === OK)
        );
        const role = draw.chance(0.75) ? "callers" : "relays";
        const stopping = fleet.entries[STOPPED[role]] as ProcessEntry;
        const from = performance.now() + 100;
        const addresses = role === "callers"
          ? [stopping.callers]
          : [fleet.entries[0]!.callers, stopping.callers];
        const sends = Array.from(
          { length: SENDS },
          (_, index) =>
            drawSend(draw, { name: `${seed}-${index}`, from, addresses }),
        );
        const signalAt = from + LEAD_MS;
        setTimeout(
          () => stopping.signal("SIGTERM"),
          signalAt - performance.now(),
        );
        const outcomes = (await Promise.all(sends.map(sendTimed))).flat();
        const faults = outcomes.flatMap((outcome) => {
          const fault = faultOf(outcome, { endpoint, signalAt });
          const sentAfter = Math.round((outcome.sentAt ?? NaN) - signalAt);
          const endedAfter = Math.round(outcome.endedAt - signalAt);
          return fault === undefined ? [] : [
            `${outcome.call} (${
              calls.get(outcome.call)!.text
            }), sent at ${sentAfter}, ended at ${endedAfter} ms: ${fault}`,
          ];
        });
        if (process.env.DRAWN_PRINT !== undefined) {
          const statuses = outcomes.map(({ answer, cut }) =>
            answer?.status ?? (cut ? "cut" : "closed")
          );
          const counts = [...new Set(statuses)].map((status) =>
            `${statuses.filter((other) => other === status).length} x ${status}`
          );
          console.log(
            `seed ${seed}, ${role}: ${counts.join(", ")}; exit ${await stopping
              .exitStatus()}\n${faults.join("\n")}`,
          );
        }
        expect(faults).toEqual([]);
        expect(await stopping.exitStatus()).toBe(0);
      } finally {
        await fleet.close();
        await endpoint.close();
      }
    },
  );
});

function documentOf(): object {
  const commonFields = { timeout_ms: 10_000, response_target_ms: 500 };
  return {
    version: 1_000,
    limits: {
      header_bytes: 16_384,
      body_bytes: 65_536,
      header_ms: 3_000,
      idle_ms: 15_000,
    },
    routes: SERVICES.flatMap((service) => [
      route(`once-${service}`, {
        ...commonFields,
        kind: "non_idempotent",
        service,
        attempts: 1,
      }),
      route(`again-${service}`, {
        ...commonFields,
        kind: "idempotent",
        service,
        attempts: 2,
      }),
      route(`stream-${service}`, {
        ...commonFields,
        kind: "stream",
        service,
        attempts: 1,
      }),
      route(`resume-${service}`, {
        ...commonFields,
        kind: "stream",
        service,
        attempts: 3,
        resumable: true,
      }),
    ]),
    services: SERVICES.map((name) => ({
      name,
      connection_limit: 200,
      cold_s: 0,
      cold_per_s: 0,
      engine: { slots: 200, cache_tokens: 100_000 },
    })),
  };
}
