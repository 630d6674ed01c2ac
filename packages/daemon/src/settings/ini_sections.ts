/**
 * Reads settings in INI and checks them whole.
 *
 * @module
 */
import { type LineFault, LineIndex, toExcerpt } from "@sassafrasstep/core";
import { parse as parseIni } from "ini";
import { z } from "zod";

/** Either the checked sections or every fault of the text at once. */
export type SectionsResult<Data> =
  | { readonly ok: true; readonly data: Data }
  | { readonly ok: false; readonly faults: readonly LineFault[] };

/** Keys whose values are never quoted back. */
const SECRET_KEYS: ReadonlySet<string> = new Set(["secret"]);

/** Parses a text against the shape of its sections. Never throws. */
export function readSections<Schema extends z.ZodType>(
  text: string,
  schema: Schema,
): SectionsResult<z.infer<Schema>> {
  const lines = new LineIndex(text);
  const faults = [...lines.faults];
  const parsed = parseSafely(text);
  const result = schema.safeParse(parsed);
  if (result.success && faults.length === 0) {
    return { ok: true, data: result.data };
  }
  for (const issue of result.error?.issues ?? []) {
    faults.push(...toFaults(issue, { lines, parsed }));
  }
  faults.sort((left, right) => left.line - right.line);
  return { ok: false, faults };
}

function parseSafely(text: string): Record<string, unknown> {
  try {
    return parseIni(text);
  } catch {
    return {};
  }
}

function toFaults(
  issue: z.core.$ZodIssue,
  { lines, parsed }: { lines: LineIndex; parsed: Record<string, unknown> },
): LineFault[] {
  const [section = "", key = ""] = issue.path.map(String);
  if (issue.code === "unrecognized_keys") {
    return issue.keys.map((name) => ({
      line: section === "" ? lines.lineOf(name) : lines.lineOf(section, name),
      section: section === "" ? name : section,
      key: section === "" ? "" : name,
      found: `unknown name "${toExcerpt(name)}"`,
      expected: section === "" ? "a known section" : "a key of this section",
    }));
  }
  const found = SECRET_KEYS.has(key)
    ? "a value that does not do"
    : foundValue(parsed, { section, key });
  return [{
    line: lines.lineOf(section, key),
    section,
    key,
    found,
    expected: issue.message,
  }];
}

function foundValue(
  parsed: Record<string, unknown>,
  { section, key }: { section: string; key: string },
): string {
  const value = (parsed[section] as Record<string, unknown> | undefined)?.[key];
  return value === undefined ? "nothing" : `"${toExcerpt(String(value))}"`;
}

const MAX_PORT = 65_535;

/** Host and port to listen on; port 0 lets the system choose. */
export interface Address {
  readonly host: string;
  readonly port: number;
}

/** A name of ours: lower-case letters, digits and hyphens. */
export const NAME = z.string().regex(
  /^[a-z0-9][a-z0-9-]{0,62}$/,
  "lower-case letters, digits and hyphens, 63 at most",
);

/** `host:port` */
export const ADDRESS = z.string().regex(
  /^[^:]+:\d{1,5}$|^\[[0-9a-f:]+\]:\d{1,5}$/,
  "host:port",
)
  .transform(toAddress).refine(
    ({ port }) => port <= MAX_PORT,
    `a port up to ${MAX_PORT}`,
  );

/** A whole number within bounds. */
export function wholeNumber(least: number, most: number): z.ZodType<number> {
  const expected = `a whole number from ${least} to ${most}`;
  return z.string().regex(/^\d{1,9}$/, expected).transform(Number)
    .refine((value) => value >= least && value <= most, expected);
}

/** A decimal number from 0 up. */
export function decimal(most: number): z.ZodType<number> {
  const expected = `a number from 0 to ${most}`;
  return z.string().regex(/^\d/, expected).transform(Number)
    .refine((value) => value >= 0 && value <= most, expected);
}

/**
 * A decimal number, or a default where nothing stands: a template renders nothing for a figure that a
 * deployment does not have.
 */
export function decimalOr(otherwise: number, most: number): z.ZodType<number> {
  return z.preprocess(
    (value) => value === "" ? undefined : value,
    decimal(most).default(otherwise),
  );
}

/** Items between commas. */
export const LIST = z.string().transform((text) =>
  text.split(",").map((item) => item.trim()).filter((item) => item !== "")
);

function toAddress(text: string): Address {
  const colon = text.lastIndexOf(":");
  return {
    host: text.slice(0, colon).replace(/^\[|\]$/g, ""),
    port: Number(text.slice(colon + 1)),
  };
}
