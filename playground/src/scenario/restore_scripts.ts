/**
 * Random scripts that publish texts while the configuration service is restored, outdated or down, and entries
 * fail.
 *
 * @module
 */
import fc from "fast-check";

const ENTRIES = ["n1", "n2", "n3", "s1", "s2"];
const ZONES = ["north-a", "north-b", "south-a"];
const MAX_STEPS = 24;
const MAX_PAUSE_MS = 6_000;
/** The service may hide a restore until the periodic reads, and a read may be preceded by a watch. */
const NOTICE_TIME_MS = 130_000;
/** Time in which a change is in force everywhere. */
const CHANGE_TIME_MS = 20_000;

type Step =
  | { readonly kind: "publish" }
  | { readonly kind: "restore"; readonly lost: number }
  | { readonly kind: "action"; readonly line: string };

const entry = fc.constantFrom(...ENTRIES);
const step: fc.Arbitrary<Step> = fc.oneof(
  { arbitrary: fc.constant<Step>({ kind: "publish" }), weight: 5 },
  {
    arbitrary: fc.integer({ min: 0, max: 4 }).map((lost): Step => ({
      kind: "restore",
      lost,
    })),
    weight: 2,
  },
  {
    arbitrary: fc.oneof(
      fc.constantFrom("normal", "normal", "outage", "stale").map((mode) =>
        `platform ${mode}`
      ),
      entry.map((name) => `restart ${name}`),
      entry.map((name) => `freeze ${name}`),
      entry.map((name) => `thaw ${name}`),
      fc.constantFrom(...ZONES).map((zone) => `isolate ${zone}`),
      fc.constant("heal"),
    ).map((line): Step => ({ kind: "action", line })),
    weight: 4,
  },
);

/** Scripts for the two-region setting, at whose end every entry has to apply the newest text, if that can be known. */
export const restoreScript: fc.Arbitrary<string> = fc.array(
  fc.record({ pause: fc.integer({ min: 0, max: MAX_PAUSE_MS }), step }),
  { minLength: 3, maxLength: MAX_STEPS },
).map(toScript);

function toScript(
  steps: readonly { readonly pause: number; readonly step: Step }[],
): string {
  let at = 0;
  let revision = 1;
  let rate = 1_000;
  const lines = ["title Random restores", "use two_regions"];
  const add = (pause: number, line: string): void => {
    at += pause;
    lines.push(`at ${at}ms ${line}`);
  };
  // Each text is unique, so that it can be told from those before the restore.
  const publish = (pause: number): void => {
    revision++;
    rate++;
    add(pause, `publish customer/clinic requests_per_s=${rate}`);
  };
  for (const { pause, step } of steps) {
    if (step.kind === "publish") {
      publish(pause);
    } else if (step.kind === "restore") {
      revision = Math.max(1, revision - step.lost);
      add(pause, `restore-platform ${revision}`);
    } else {
      add(pause, step.line);
    }
  }
  add(0, "platform normal");
  add(0, "heal");
  ENTRIES.forEach((name) => add(0, `thaw ${name}`));
  publish(0);
  // A text under a revision whose earlier text nobody read cannot be told from an outdated answer.
  add(NOTICE_TIME_MS, "expect newest all provable");
  publish(0);
  add(CHANGE_TIME_MS, "expect newest all provable");
  return lines.join("\n");
}
