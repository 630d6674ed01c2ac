/**
 * The operators' configuration text of a scenario, which its steps edit.
 *
 * @module
 */
import { sha256 } from "@sassafrasstep/core";

/** Keys and values of one INI section. */
type Section = Record<string, string>;

/** Builds a configuration text in INI format. */
export class ScenarioText {
  readonly #sections = new Map<string, Section>([
    ["deployment", {
      name: "scenario",
      objective: "tail",
      spill_limit: "0.5",
      loads_per_minute: "60",
    }],
  ]);

  /** Sets keys of a section and keeps its other keys. */
  set(section: string, keys: Section): void {
    this.#sections.set(section, { ...this.#sections.get(section), ...keys });
  }

  remove(section: string): void {
    this.#sections.delete(section);
  }

  addCustomer(
    id: string,
    { home, bound, rate }: { home: string; bound: boolean; rate: string },
  ): void {
    this.set(`customer ${id}`, {
      home,
      bound: bound ? "yes" : "no",
      token_sha256: sha256(`demo-${id}`),
      requests_per_s: rate,
    });
  }

  toString(): string {
    return [...this.#sections].map(([name, keys]) =>
      [
        `[${name}]`,
        ...Object.entries(keys).map(([key, value]) => `${key} = ${value}`),
      ].join("\n")
    ).join("\n\n");
  }
}
