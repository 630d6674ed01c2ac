/**
 * The two example deployments at their present sizes, with stand-ins for every service they depend on.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import type { EngineOptions } from "../stand_ins/index.ts";

/** The availability zone and region in which a process runs. */
export interface Location {
  readonly zone: string;
  readonly region: string;
}

/** A customer of an example deployment, with the token that authenticates its clients. */
export interface DemoCustomer {
  readonly id: string;
  readonly home: string;
  readonly bound: boolean;
  readonly token: string;
}

/** The processes, configuration and customers of one fleet. */
export interface Blueprint {
  readonly name: "peachtree" | "mfuko";
  readonly configurationText: string;
  readonly entries: readonly Location[];
  readonly engines: readonly Location[];
  readonly plainServices: readonly Location[];
  readonly modelService: string;
  readonly plainService: string;
  readonly engine: Partial<EngineOptions>;
  readonly customers: readonly DemoCustomer[];
}

const EXAMPLES = new URL("../../../examples/", import.meta.url);

/** Returns the blueprint of an example deployment, with its configuration text read from disk. */
export function readBlueprint(name: "peachtree" | "mfuko"): Blueprint {
  const configurationText = readFileSync(
    new URL(`${name}.ini`, EXAMPLES),
    "utf8",
  );
  return name === "peachtree"
    ? peachtree(configurationText)
    : mfuko(configurationText);
}

function peachtree(configurationText: string): Blueprint {
  return {
    name: "peachtree",
    configurationText,
    entries: locations({
      "atlanta-a": 2,
      "atlanta-b": 2,
      "savannah-a": 1,
      "savannah-b": 1,
      "macon-a": 1,
      "macon-b": 1,
    }),
    engines: locations({
      "atlanta-a": 3,
      "atlanta-b": 3,
      "savannah-a": 2,
      "savannah-b": 2,
      "macon-a": 2,
      "macon-b": 1,
    }),
    plainServices: locations({ "atlanta-a": 1, "savannah-a": 1, "macon-a": 1 }),
    modelService: "pool",
    plainService: "check-in",
    engine: { model: "guest-8b@v1" },
    customers: [
      customer("clinic-north", "atlanta", true),
      customer("law-office", "savannah", true),
      customer("warehouse-9", "macon", true),
      customer("church-hall", "atlanta", false),
    ],
  };
}

function mfuko(configurationText: string): Blueprint {
  return {
    name: "mfuko",
    configurationText,
    entries: locations({
      "nairobi-a": 2,
      "nairobi-b": 1,
      "mombasa-a": 1,
      "mombasa-b": 1,
      "kisumu-a": 2,
    }),
    engines: locations({
      "nairobi-a": 2,
      "nairobi-b": 1,
      "mombasa-a": 1,
      "mombasa-b": 1,
      "kisumu-a": 2,
    }),
    plainServices: locations({ "nairobi-a": 1, "mombasa-a": 1, "kisumu-a": 1 }),
    modelService: "assistant",
    plainService: "wallet",
    engine: { model: "mfuko-7b@v1", decodeMs: 15, slots: 3 },
    customers: [
      customer("wanjiku-family", "nairobi", true),
      customer("otieno-family", "kisumu", true),
      customer("hamisi-family", "mombasa", true),
      customer("savings-club", "nairobi", false),
    ],
  };
}

function customer(id: string, home: string, bound: boolean): DemoCustomer {
  return { id, home, bound, token: `demo-${id}` };
}

/** Expands counts per zone into locations. A zone's name is its region's name and a suffix after the last `-`. */
function locations(counts: Readonly<Record<string, number>>): Location[] {
  return Object.entries(counts).flatMap(([zone, count]) => {
    const region = zone.slice(0, zone.lastIndexOf("-"));
    return Array.from({ length: count }, () => ({ zone, region }));
  });
}
