import { describe, expect, it } from "vitest";
import { Client, Fleet, readBlueprint, waitFor } from "../../index.ts";
import { Draw } from "../../endless/index.ts";
import type { PublishedVm } from "../../stand_ins/index.ts";
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
const GRACE_MS = 8_000;
/** A run that lasts into this part of the grace may be cut, if its request was sent soon after the signal. */
const LAST_PART_MS = GRACE_MS * 5 / 6;
const SOON_MS = 3_000;
const DEADLINE_MS = 10_000;
/** The signal comes so long after the first request. */
const LEAD_MS = 1_500;
const SENDS = 70;
const MAX_RETRIES = 3;
/** A refusal that comes later is not given at once; a connection that is closed later had read its request. */
const AT_ONCE_MS = 1_000;
const OK = 200;
const THIS_SEND = /"this_send":"([^"]*)"/;
const TOKEN = "demo-clinic-north";
const KINDS = ["stream", "whole", "notes", "badges"] as const;
const POOLS = ["noisy", "notes", "badges"] as const;
const PLACES = ["atlanta-a", "atlanta-a", "atlanta-b"].map((zone) => ({
  zone,
  region: "atlanta",
}));
const SERVICES = `
[service noisy]
kind = model
model = guest-8b@v1
pool = noisy
regions = atlanta
class = screen
deadline_ms = 15000
queue_limit = 256

[service notes]
kind = plain
repeatable = yes
not_run_statuses = 429, 503
regions = atlanta
deadline_ms = 15000

[service badges]
kind = plain
repeatable = no
not_run_statuses = 429, 503
regions = atlanta
deadline_ms = 15000
`;

interface DrawnCall {
  readonly kind: typeof KINDS[number];
  readonly timeMs: number;
  readonly text: string;
}

// Guards against requests that a stopping entry takes and then cuts, and against actions that run at two entries.
describe("requests of services around a planned stop", () => {
  const calls = new Map<string, DrawnCall>();

  function drawSend(draw: Draw, { name, from, addresses, newKey }: {
    name: string;
    from: number;
    addresses: readonly string[];
    newKey: (draw: Draw) => string;
  }): TimedSend {
    const count = draw.chance(0.25) ? draw.between(2, 3) : 1;
    const isSlow = draw.chance(0.25);
    const requests = Array.from({ length: count }, (_, index) => {
      const call = `call-${name}-${index}`;
      const kind = draw.oneOf(KINDS);
      const longest = draw.oneOf([60, 60, 700, 3_000, 9_000]);
      const timeMs = draw.between(5, longest);
      const target = `run-${timeMs}-${call}`;
      const isChat = kind === "stream" || kind === "whole";
      const body = isChat
        ? JSON.stringify({
          stream: kind === "stream",
          max_tokens: 1_000,
          messages: [{ role: "user", content: `${target} ` }],
        })
        : "body";
      const path = isChat
        ? "/v1/models/noisy/chat/completions"
        : `/v1/services/${kind}/${target}`;
      const head = [
        `POST ${path} HTTP/1.1`,
        "host: entry",
        `authorization: Bearer ${TOKEN}`,
        "content-type: application/json",
        `sassafrasstep-deadline-ms: ${DEADLINE_MS}`,
        ...kind === "badges" ? [`idempotency-key: ${newKey(draw)}`] : [],
        `content-length: ${body.length}`,
        "\r\n",
      ].join("\r\n");
      const text = `${kind} ${timeMs} ms, ${count} on the connection`;
      calls.set(call, { kind, timeMs, text });
      return { call, head, body };
    });
    return {
      address: draw.oneOf(addresses),
      requests,
      at: from + draw.between(0, LEAD_MS + GRACE_MS + 500),
      openBeforeMs: draw.chance(0.6) ? draw.between(50, 5_000) : undefined,
      warmUp: `POST /v1/services/notes/run-5-call-warm HTTP/1.1\r\n` +
        `host: entry\r\nauthorization: Bearer ${TOKEN}\r\ncontent-length: 0\r\n\r\n`,
      bodyMs: isSlow ? draw.between(100, 6_000) : 0,
    };
  }

  /** Sends, and again at another entry what was not answered with a success. */
  async function sendAndRetry(
    send: TimedSend,
    other: string,
  ): Promise<SeenOutcome[][]> {
    const first = await sendTimed(send);
    return await Promise.all(first.map(async (outcome, index) => {
      const outcomes = [outcome];
      const { kind } = calls.get(outcome.call)!;
      while (
        kind === "badges" && outcomes.at(-1)!.answer?.status !== OK &&
        outcomes.length <= MAX_RETRIES
      ) {
        const [again] = await sendTimed({
          ...send,
          address: other,
          requests: [send.requests[index]!],
          at: performance.now() + 200,
          openBeforeMs: undefined,
          bodyMs: 0,
        });
        outcomes.push(again!);
      }
      return outcomes;
    }));
  }

  /** What is wrong with the sends of a call, `undefined` if nothing is. */
  function faultOf(
    outcomes: readonly SeenOutcome[],
    { endpoint, signalAt }: { endpoint: TimedEndpoint; signalAt: number },
  ): string | undefined {
    const { call, beganAt, sentAt, answer, cut, endedAt, freeAt } =
      outcomes[0]!;
    const { kind, timeMs } = calls.get(call)!;
    const runs = endpoint.runs.filter((run) => run.call === call);
    // A later send may run the action.
    const run = runs.find(({ begunAt }) => begunAt <= endedAt);
    if (kind === "badges" && runs.length > 1) {
      return `${runs.length} runs`;
    }
    // A refusal that a peer relays states it in its body alone.
    const verdict = answer?.headers.get("sassafrasstep-this-send") ??
      THIS_SEND.exec(answer?.body ?? "")?.[1] ??
      answer?.headers.get("sassafrasstep-verdict");
    if (verdict === "not_run" && run !== undefined) {
      return `answered ${answer!.status} as not run, has run`;
    }
    const allNotRun = outcomes.every(({ answer }) =>
      answer?.headers.get("sassafrasstep-verdict") === "not_run"
    );
    if (allNotRun && runs.length > 0) {
      return "answered as not run each time, has run";
    }
    const startedAt = Math.max(sentAt ?? 0, freeAt ?? 0);
    if (answer?.status === 503 && verdict === "not_run") {
      const wait = answer.at - startedAt;
      return wait > AT_ONCE_MS
        ? `refused after ${Math.round(wait)} ms`
        : undefined;
    }
    if (answer?.status === OK) {
      const isWhole = kind === "stream"
        ? answer.body.includes("[DONE]") &&
          answer.body.split('"content":"t"').length - 1 ===
            eventCountOf(timeMs)
        : kind === "whole"
        ? answer.body.includes("t".repeat(eventCountOf(timeMs)))
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
      return `answered ${answer.status} ${verdict} ${answer.body}`;
    }
    if (cut || run !== undefined) {
      return cut ? "cut within its answer" : "has run, cut without an answer";
    }
    return sentAt !== undefined && freeAt !== undefined &&
        endedAt - startedAt > AT_ONCE_MS
      ? `closed ${Math.round(endedAt - startedAt)} ms after it was sent`
      : undefined;
  }

  const seeds = Array.from({ length: SEEDS }, (_, at) => FIRST_SEED + at);
  it.concurrent.each(seeds)(
    "are answered or refused, and no action runs twice, seed %i",
    async (seed) => {
      const draw = new Draw(seed);
      const endpoint = new TimedEndpoint();
      const client = new Client(TOKEN);
      const blueprint = readBlueprint("peachtree");
      const fleet = new Fleet({
        ...blueprint,
        configurationText: blueprint.configurationText + SERVICES,
        entries: PLACES,
        engines: PLACES.slice(1),
        plainServices: PLACES.slice(1),
      });
      try {
        await fleet.start();
        const url = `http://${await endpoint.listen()}`;
        const vms = POOLS.map((pool): PublishedVm => ({
          id: `timed-${pool}`,
          role: "endpoint",
          ...PLACES[0]!,
          url,
          pool,
          state: "live",
        }));
        await fleet.putControl("vm-list", "vms", {
          vms: [...fleet.vms(), ...vms],
        });
        await waitFor("all entries to know the endpoints", async () => {
          const statuses = await Promise.all(
            fleet.entries.map((entry) => fleet.status(entry)),
          );
          return statuses.every(({ endpoints }) =>
            vms.every(({ id }) =>
              endpoints.some((known) => known.id === id && known.slots > 0)
            )
          );
        });
        const listed = await client.entries(fleet.entries[0]!.url, "pool");
        const owners = fleet.entries.map(({ id }) =>
          listed.find((entry) => entry.id === id)!.owner_token
        );
        const addresses = fleet.entries.map(({ url }) =>
          url.replace("http://", "")
        );
        const { child } = fleet.entries[0]!;
        const from = performance.now() + 100;
        const signalAt = from + LEAD_MS;
        setTimeout(() => child.signal("SIGTERM"), signalAt - performance.now());
        const kill = setTimeout(
          () => child.signal("SIGKILL"),
          signalAt + GRACE_MS - performance.now(),
        );
        const sends = Array.from(
          { length: SENDS },
          (_, index) =>
            drawSend(draw, {
              name: `${seed}-${index}`,
              from,
              addresses: [addresses[0]!, addresses[0]!, addresses[1]!],
              newKey: (draw) => client.newKey(draw.oneOf(owners)),
            }),
        );
        const outcomes = (await Promise.all(
          sends.map((send) => sendAndRetry(send, addresses[2]!)),
        )).flat();
        clearTimeout(kill);
        const faults = outcomes.flatMap((sent) => {
          const fault = faultOf(sent, { endpoint, signalAt });
          const { call, sentAt = NaN, endedAt } = sent[0]!;
          return fault === undefined ? [] : [
            `${call} (${calls.get(call)!.text}), ${sent.length} sends, ` +
            `sent at ${Math.round(sentAt - signalAt)}, ` +
            `ended at ${Math.round(endedAt - signalAt)} ms: ${fault}`,
          ];
        });
        if (process.env.DRAWN_PRINT !== undefined) {
          const statuses = outcomes.map(([{ answer, cut }]) =>
            answer?.status ?? (cut ? "cut" : "closed")
          );
          const counts = [...new Set(statuses)].map((status) =>
            `${statuses.filter((other) => other === status).length} x ${status}`
          );
          console.log(
            `seed ${seed}: ${counts.join(", ")}; exit ${await child
              .exited}\n${faults.join("\n")}`,
          );
        }
        expect(faults).toEqual([]);
      } finally {
        await client.close();
        await fleet.stop();
        await endpoint.close();
      }
    },
  );
});
