/**
 * One entry that is stopped and goes on, with chats under way, over real processes.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { Client, Fleet, readBlueprint, tokenAt, waitFor } from "../index.ts";

const PLACE = { zone: "atlanta-a", region: "atlanta" };
const CHATS = 32;
const TOKENS = 150;
const DECODE_MS = 15;
/** Longer than a load poll may take, and longer than what counts as a pause. */
const PAUSES_MS = [1_200, 2_300];

const fleet = new Fleet({
  ...readBlueprint("peachtree"),
  entries: [PLACE],
  engines: [PLACE, PLACE, PLACE],
  plains: [],
  engine: { model: "guest-8b@v1", slots: CHATS, decodeMs: DECODE_MS },
});
const kiosk = new Client("demo-clinic-north");

beforeAll(async () => {
  await fleet.start();
});

afterAll(async () => {
  await kiosk.close();
  await fleet.stop();
});

/** How often engines began a chat. */
async function runs(): Promise<number> {
  const states = await Promise.all(
    fleet.standInsOf("engine").map(({ id }) =>
      fleet.readControl<{ runs: Record<string, number> }>(id, "state")
    ),
  );
  return states.flatMap((state) => Object.values(state.runs)).reduce(
    (sum, count) => sum + count,
    0,
  );
}

describe("an entry that is stopped and goes on", () => {
  // Entries of the other interface took each engine for silent after a pause of their own and sent every
  // stream once more, so that some callers got bytes of two runs. Here nothing is judged by silence: what
  // lies in the sockets is read, each chat is whole, and each runs once.
  it("gives each chat whole, from one run", async () => {
    const entry = fleet.entries[0]!;
    const prompts = Array.from(
      { length: CHATS },
      (_, index) => `chat ${index}`,
    );
    const asked = prompts.map((prompt) =>
      kiosk.ask(entry.url, { prompt, maxTokens: TOKENS })
    );
    await waitFor("all chats to run", async () => await runs() >= CHATS);
    for (const pause of PAUSES_MS) {
      entry.child.signal("SIGSTOP");
      await sleep(pause);
      entry.child.signal("SIGCONT");
      await fleet.status(entry);
    }
    const answers = await Promise.all(asked);
    const expected = prompts.map((prompt) =>
      Array.from(
        { length: TOKENS },
        (_, offset) => tokenAt(`user\n${prompt}`, offset),
      ).join("")
    );
    expect(answers.map(({ text }) => text)).toEqual(expected);
    expect(answers.filter(({ whole }) => !whole)).toEqual([]);
    expect(await runs()).toBe(CHATS);
    const printed = entry.child.lines.join("\n");
    expect(printed).not.toContain("Endpoint is suspect.");
    expect(printed).not.toContain("Stream goes on elsewhere.");
  });
});
