/**
 * Parses INI settings and validates them against a schema.
 *
 * @module
 */
import {
  isSocketAddress,
  type LineFault,
  LineIndex,
  toExcerpt,
} from "@sassafrasstep/core";
import { parse as parseIni } from "ini";
import { z } from "zod";

/** Either the validated sections or all faults of the text. */
export type SectionsResult<Data> =
  | { readonly ok: true; readonly data: Data }
  | { readonly ok: false; readonly faults: readonly LineFault[] };

/** Keys whose values are never quoted in faults. */
const SECRET_KEYS: ReadonlySet<string> = new Set(["secret"]);

/** Parses a text and validates its sections. Never throws. */
export function parseSections<Schema extends z.ZodType>(
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
    ? "an invalid value"
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

/** Host and port to listen on; with port 0 the system chooses a free port. */
export interface Address {
  readonly host: string;
  readonly port: number;
}

/** Schema of a name: lower-case letters, digits and hyphens. */
export const NAME_SCHEMA = z.string().regex(
  /^[a-z0-9][a-z0-9-]{0,62}$/,
  "lower-case letters, digits and hyphens, 63 at most",
);

/** Schema of an address: `host:port`. */
export const ADDRESS_SCHEMA = z.string().regex(
  /^[^:]+:\d{1,5}$|^\[[0-9a-f:]+\]:\d{1,5}$/,
  "host:port",
)
  .transform(toAddress).refine(
    ({ port }) => port <= MAX_PORT,
    `a port up to ${MAX_PORT}`,
  );

/** Schema of an address that others connect to, whose port is therefore known. */
export const REACHABLE_ADDRESS_SCHEMA = ADDRESS_SCHEMA.refine(
  ({ host, port }) => isSocketAddress(`${host}:${port}`),
  `a host name or IP address with a port from 1 to ${MAX_PORT}`,
);

/** Returns the schema of an integer in a range. */
export function integer(min: number, max: number): z.ZodType<number> {
  const expected = `a whole number from ${min} to ${max}`;
  return z.string().regex(/^\d{1,9}$/, expected).transform(Number)
    .refine((value) => value >= min && value <= max, expected);
}

/** Returns the schema of a non-negative decimal number. */
export function decimal(max: number): z.ZodType<number> {
  const expected = `a number from 0 to ${max}`;
  return z.string().regex(/^\d/, expected).transform(Number)
    .refine((value) => value >= 0 && value <= max, expected);
}

/**
 * Returns the schema of a non-negative decimal number with a default for a missing or empty value: a
 * template renders an empty value for a number that the deployment does not define.
 */
export function decimalWithDefault(
  defaultValue: number,
  max: number,
): z.ZodType<number> {
  return z.preprocess(
    (value) => value === "" ? undefined : value,
    decimal(max).default(defaultValue),
  );
}

/** Schema of a comma-separated list. */
export const LIST_SCHEMA = z.string().transform((text) =>
  text.split(",").map((item) => item.trim()).filter((item) => item !== "")
);

function toAddress(text: string): Address {
  const colon = text.lastIndexOf(":");
  return {
    host: text.slice(0, colon).replace(/^\[|\]$/g, ""),
    port: Number(text.slice(colon + 1)),
  };
}
