/**
 * The deployment of the whole path, and what its cases ask of it.
 *
 * @module
 */
import {
  Client,
  Fleet,
  type FleetEntry,
  type KnownEntry,
  readBlueprint,
  tokenAt,
  waitFor,
} from "../index.ts";

/** One deployment of real processes, shared by all cases. */
export const fleet = new Fleet(readBlueprint("peachtree"));
/** A customer with a home. */
export const kiosk = new Client("demo-clinic-north");
/** Another customer. */
export const guest = new Client("demo-church-hall");
/** Asked in all cases. */
export const PROMPT = "Where do I find my host?";

/** The process of an entry that was named. */
export function entryNamed(known: KnownEntry): FleetEntry {
  return fleet.entries.find(({ id }) => id === known.id)!;
}

/** Entries for the kiosk: those of its home. */
export async function homeEntries(): Promise<readonly KnownEntry[]> {
  const alive = fleet.entries.find(({ child }) =>
    child.process.exitCode === null && child.process.signalCode === null
  )!;
  return await kiosk.entries(alive.url, "check-in");
}

/** Runs of a key over all printers. */
export async function runsOf(key: string): Promise<number> {
  const states = await Promise.all(
    fleet.standInsOf("plain").map(({ id }) =>
      fleet.readControl<{ runs: Record<string, number> }>(id, "runs")
    ),
  );
  return states.reduce((sum, { runs }) => sum + (runs[key] ?? 0), 0);
}

/** Calls that reached printers, whether they ran or not. */
export async function callsOfPrinters(): Promise<number> {
  const states = await Promise.all(
    fleet.standInsOf("plain").map(({ id }) =>
      fleet.readControl<{ calls: number }>(id, "runs")
    ),
  );
  return states.reduce((sum, { calls }) => sum + calls, 0);
}

/** The answer to the prompt, of so many tokens. */
export function expectedText(tokens: number): string {
  return Array.from(
    { length: tokens },
    (_, offset) => tokenAt(`user\n${PROMPT}`, offset),
  ).join("");
}

/** Sets how all printers behave. */
export async function setPrinters(behaviour: object): Promise<void> {
  await Promise.all(
    fleet.standInsOf("plain").map(({ id }) =>
      fleet.control(id, "mode", behaviour)
    ),
  );
}

/** Replaces entries that are gone, as the platform would. */
export async function replaceDead(): Promise<void> {
  const dead = fleet.entries.filter(({ child }) =>
    child.process.exitCode !== null || child.process.signalCode !== null
  );
  for (const entry of dead) {
    fleet.entries.splice(fleet.entries.indexOf(entry), 1);
    await fleet.addEntry({ zone: entry.zone, region: entry.region });
  }
  await fleet.publishVms();
  await waitFor("the new entries to be known", async () => {
    const all = await Promise.all(
      fleet.entries.map((entry) => fleet.status(entry)),
    );
    const ids = fleet.entries.map(({ id }) => id);
    return all.every(({ phase, members, id, endpoints }) => {
      const live = members.filter(({ health, state }) =>
        health === "live" && state === "ready"
      ).map((member) => member.id);
      const known = endpoints.some(({ pool, state }) =>
        pool === "check-in" && state === "live"
      );
      const gone = live.every((name) => ids.includes(name));
      return phase === "ready" && known && gone &&
        ids.every((name) => name === id || live.includes(name));
    });
  });
}
