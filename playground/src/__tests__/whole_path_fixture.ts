/**
 * The fleet of the whole-path tests, with helpers to query and change it.
 *
 * @module
 */
import {
  Client,
  Fleet,
  type FleetEntry,
  type ListedEntry,
  readBlueprint,
  tokenAt,
  waitFor,
} from "../index.ts";

/** A fleet of real processes that all cases share. */
export const fleet = new Fleet(readBlueprint("peachtree"));
/** A client of a customer that is bound to its home region. */
export const kiosk = new Client("demo-clinic-north");
/** A client of a customer that is not bound to its home region. */
export const unboundClient = new Client("demo-church-hall");
/** The prompt of all cases. */
export const PROMPT = "Where do I find my host?";

/** Returns the fleet's process for an entry of the list that clients get. */
export function fleetEntryOf(known: ListedEntry): FleetEntry {
  return fleet.entries.find(({ id }) => id === known.id)!;
}

/** Fetches the entries that the kiosk may use, all in its home region, from any running entry. */
export async function homeEntries(): Promise<readonly ListedEntry[]> {
  const running = fleet.entries.find(({ child }) =>
    child.process.exitCode === null && child.process.signalCode === null
  )!;
  return await kiosk.entries(running.url, "check-in");
}

/** Returns how often all printers together ran a call with this idempotency key. */
export async function countRuns(key: string): Promise<number> {
  const states = await Promise.all(
    fleet.standInsOfKind("plain").map(({ id }) =>
      fleet.readControl<{ runs: Record<string, number> }>(id, "runs")
    ),
  );
  return states.reduce((sum, { runs }) => sum + (runs[key] ?? 0), 0);
}

/** Returns the number of calls that reached printers, whether they ran or not. */
export async function countPrinterCalls(): Promise<number> {
  const states = await Promise.all(
    fleet.standInsOfKind("plain").map(({ id }) =>
      fleet.readControl<{ calls: number }>(id, "runs")
    ),
  );
  return states.reduce((sum, { calls }) => sum + calls, 0);
}

/** Returns the text of the answer to the prompt with the given number of tokens. */
export function expectedText(tokens: number): string {
  return Array.from(
    { length: tokens },
    (_, offset) => tokenAt(`user\n${PROMPT}`, offset),
  ).join("");
}

/** Sets the mode of all printers. */
export async function setPrinterMode(behaviour: object): Promise<void> {
  await Promise.all(
    fleet.standInsOfKind("plain").map(({ id }) =>
      fleet.putControl(id, "mode", behaviour)
    ),
  );
}

/** Replaces exited entries by new ones in the same zone, as the platform does. */
export async function replaceExitedEntries(): Promise<void> {
  const exited = fleet.entries.filter(({ child }) =>
    child.process.exitCode !== null || child.process.signalCode !== null
  );
  for (const entry of exited) {
    fleet.entries.splice(fleet.entries.indexOf(entry), 1);
    await fleet.addEntry({ zone: entry.zone, region: entry.region });
  }
  await fleet.publishVms();
  await waitFor("all entries to see the new ones", async () => {
    const statuses = await Promise.all(
      fleet.entries.map((entry) => fleet.status(entry)),
    );
    const ids = fleet.entries.map(({ id }) => id);
    return statuses.every(({ phase, members, id, endpoints }) => {
      const live = members.filter(({ health, state }) =>
        health === "live" && state === "ready"
      ).map((member) => member.id);
      const printerKnown = endpoints.some(({ pool, state }) =>
        pool === "check-in" && state === "live"
      );
      const onlyCurrent = live.every((name) => ids.includes(name));
      return phase === "ready" && printerKnown && onlyCurrent &&
        ids.every((name) => name === id || live.includes(name));
    });
  });
}
