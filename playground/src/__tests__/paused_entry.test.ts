/**
 * An entry process that is stopped and continued (SIGSTOP, SIGCONT) during streamed chats.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { Client, Fleet, readBlueprint, tokenAt, waitFor } from "../index.ts";

const LOCATION = { zone: "atlanta-a", region: "atlanta" };
const CHAT_COUNT = 32;
const TOKENS_PER_CHAT = 150;
const DECODE_MS = 15;
/** Pauses longer than the timeout of a load poll and than the threshold that counts as a pause. */
const PAUSES_MS = [1_200, 2_300];

const fleet = new Fleet({
  ...readBlueprint("peachtree"),
  entries: [LOCATION],
  engines: [LOCATION, LOCATION, LOCATION],
  plainServices: [],
  engine: { model: "guest-8b@v1", slots: CHAT_COUNT, decodeMs: DECODE_MS },
});
const kiosk = new Client("demo-clinic-north");

beforeAll(async () => {
  await fleet.start();
});

afterAll(async () => {
  await kiosk.close();
  await fleet.stop();
});

/** Returns how many runs of chats all engines together have started. */
async function countRuns(): Promise<number> {
  const states = await Promise.all(
    fleet.standInsOfKind("engine").map(({ id }) =>
      fleet.readControl<{ runs: Record<string, number> }>(id, "state")
    ),
  );
  return states.flatMap((state) => Object.values(state.runs)).reduce(
    (sum, count) => sum + count,
    0,
  );
}

describe("an entry that is stopped and goes on", () => {
  // After its own pause an entry of the other interface considered every engine silent and sent each stream
  // again, so that some callers got bytes of two runs. An entry of this interface draws no conclusion from
  // silence: it reads the data waiting in its sockets, each chat is complete, and each runs once.
  it("completes each chat from a single run", async () => {
    const entry = fleet.entries[0]!;
    const prompts = Array.from(
      { length: CHAT_COUNT },
      (_, index) => `chat ${index}`,
    );
    const pendingAnswers = prompts.map((prompt) =>
      kiosk.streamChat(entry.url, { prompt, maxTokens: TOKENS_PER_CHAT })
    );
    await waitFor(
      "all chats to run",
      async () => await countRuns() >= CHAT_COUNT,
    );
    for (const pause of PAUSES_MS) {
      entry.child.signal("SIGSTOP");
      await sleep(pause);
      entry.child.signal("SIGCONT");
      await fleet.status(entry);
    }
    const answers = await Promise.all(pendingAnswers);
    const expected = prompts.map((prompt) =>
      Array.from(
        { length: TOKENS_PER_CHAT },
        (_, offset) => tokenAt(`user\n${prompt}`, offset),
      ).join("")
    );
    expect(answers.map(({ text }) => text)).toEqual(expected);
    expect(answers.filter(({ whole }) => !whole)).toEqual([]);
    expect(await countRuns()).toBe(CHAT_COUNT);
    const logOutput = entry.child.lines.join("\n");
    expect(logOutput).not.toContain("Endpoint is suspect.");
    expect(logOutput).not.toContain("Stream goes on elsewhere.");
  });
});
