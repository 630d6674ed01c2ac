/**
 * Line numbers of an INI text. The `ini` library keeps none, and a repeated key or section silently overwrites
 * the earlier one, so that a text could lose a customer unnoticed. The index finds the line of each key
 * and reports repetitions.
 *
 * @module
 */

/** A fault at a line of a text, with what was found and what was expected. */
export interface LineFault {
  readonly line: number;
  readonly section: string;
  readonly key: string;
  readonly found: string;
  readonly expected: string;
}

/** Maps sections and keys to their line numbers, counted from 1, and collects faults of the INI syntax. */
export class LineIndex {
  readonly faults: LineFault[] = [];
  readonly #lines = new Map<string, number>();

  constructor(text: string) {
    let section = "";
    text.split(/\r?\n/).forEach((raw, index) => {
      const line = raw.trim();
      if (line === "" || line.startsWith(";") || line.startsWith("#")) {
        return;
      }
      section = this.#readLine(line, { section, number: index + 1 });
    });
  }

  /** Returns the line of a key, or that of its section if the key is missing, or 1 if neither exists. */
  lineOf(section: string, key = ""): number {
    return this.#lines.get(indexKey(section, key)) ??
      this.#lines.get(indexKey(section, "")) ?? 1;
  }

  #readLine(
    line: string,
    { section, number }: { section: string; number: number },
  ): string {
    const header = /^\[([^\]]*)\]$/.exec(line);
    if (header) {
      const name = header[1]!.trim();
      this.#add({ section: name, key: "", number });
      return name;
    }
    const equals = line.indexOf("=");
    if (equals <= 0) {
      this.#addFault({
        section,
        key: "",
        number,
        found: toExcerpt(line),
        expected: "[section] or key = value",
      });
      return section;
    }
    this.#add({ section, key: line.slice(0, equals).trim(), number });
    return section;
  }

  #add(
    { section, key, number }: { section: string; key: string; number: number },
  ): void {
    const lookupKey = indexKey(section, key);
    const firstLine = this.#lines.get(lookupKey);
    if (firstLine === undefined) {
      this.#lines.set(lookupKey, number);
      return;
    }
    const found = key === ""
      ? `a second [${toExcerpt(section)}]`
      : `a second ${toExcerpt(key)}`;
    this.#addFault({
      section,
      key,
      number,
      found,
      expected: `one only; the first is at line ${firstLine}`,
    });
  }

  #addFault(
    { number, ...rest }: { number: number } & Omit<LineFault, "line">,
  ): void {
    this.faults.push({ line: number, ...rest });
  }
}

function indexKey(section: string, key: string): string {
  return `${section}\n${key}`;
}

const MAX_EXCERPT_LENGTH = 60;

/** Shortens a quoted value and replaces control characters, so that a fault prints on one line. */
export function toExcerpt(value: string): string {
  // deno-lint-ignore no-control-regex
  const printable = value.replace(/[\u0000-\u001f\u007f]/g, "?");
  return printable.length > MAX_EXCERPT_LENGTH
    ? `${printable.slice(0, MAX_EXCERPT_LENGTH)}...`
    : printable;
}
