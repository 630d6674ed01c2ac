/**
 * Shape of what entries tell each other of endpoints that ended and of requests that are held back.
 *
 * @module
 */
import type { HoldNotice, QuarantineUpdate } from "@sassafrasstep/core";
import { z } from "zod";
import { life, list, number, text, whole } from "./schema_parts.ts";

/** Characters of one message: some ends with all that was there. */
const MAX_TEXT = 65_536;

const victim = z.tuple([text, text, number, z.boolean()]).transform(
  ([content, caller, exposure, trial]) => ({
    content,
    caller,
    exposure,
    trial,
  }),
);
const crash = z.tuple([
  text,
  life,
  text,
  text,
  text,
  number,
  whole,
  list(victim),
]).transform((
  [endpoint, life, service, zone, softwareVersion, age, others, victims],
) => ({
  endpoint,
  life,
  service,
  zone,
  softwareVersion,
  age,
  others,
  victims,
}));

const answered = z.tuple([text, text]).transform(
  ([content, softwareVersion]) => ({ content, softwareVersion }),
);

const tried = z.tuple([text, z.boolean()]).transform(
  ([content, sent]) => ({ content, sent }),
);

/** A request that is held back; an empty caller stands for all. */
export const holdNotice = z.tuple([
  text,
  text,
  text,
  list(text),
  list(text),
  whole,
  number,
  z.boolean(),
]).transform((
  [content, caller, service, versions, mended, term, remaining, released],
) => ({
  content,
  caller: caller === "" ? undefined : caller,
  service,
  versions,
  mended,
  term,
  remaining,
  released,
}));

/** One entry's news. */
export const quarantineNews = z.tuple([
  list(crash),
  list(answered),
  list(tried),
  list(holdNotice),
]).transform(([crashes, answered, tried, holds]) => ({
  crashes,
  answered,
  tried,
  holds,
}));

/** The same as text, as calls between entries take it. */
export const quarantineNewsText = z.string().max(MAX_TEXT).transform(
  (text, context): QuarantineUpdate => {
    const result = quarantineNews.safeParse(parseJson(text));
    if (!result.success) {
      context.addIssue("Expected news of ends and holds");
      return z.NEVER;
    }
    return result.data as unknown as QuarantineUpdate;
  },
);

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

/** Writes a notice. */
export function encodeHoldNotice(notice: HoldNotice): unknown[] {
  return [
    notice.content,
    notice.caller ?? "",
    notice.service,
    notice.versions,
    notice.mended,
    notice.term,
    Math.round(notice.remaining),
    notice.released,
  ];
}

/** Writes news. */
export function encodeQuarantineNews(
  { crashes, answered, tried, holds }: QuarantineUpdate,
): unknown[] {
  return [
    crashes.map((report) => [
      report.endpoint,
      report.life ?? 0,
      report.service,
      report.zone,
      report.softwareVersion,
      report.age,
      report.others,
      report.victims.map((
        { content, caller, exposure, trial },
      ) => [content, caller, exposure, trial]),
    ]),
    answered.map(({ content, softwareVersion }) => [content, softwareVersion]),
    tried.map(({ content, sent }) => [content, sent]),
    holds.map(encodeHoldNotice),
  ];
}
