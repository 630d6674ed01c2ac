/**
 * Shape of what entries tell each other of endpoints that ended and of requests that are held back.
 *
 * @module
 */
import type { HoldNotice, QuarantineNews } from "@sassafrasstep/core";
import { z } from "zod";
import { life, list, number, text, whole } from "./schema_parts.ts";

const victim = z.tuple([text, text, number]).transform(
  ([content, caller, exposure]) => ({ content, caller, exposure }),
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

/** A request that is held back; an empty caller stands for all. */
export const holdNotice = z.tuple([
  text,
  text,
  text,
  list(text),
  whole,
  number,
  z.boolean(),
]).transform((
  [content, caller, service, versions, term, remaining, released],
) => ({
  content,
  caller: caller === "" ? undefined : caller,
  service,
  versions,
  term,
  remaining,
  released,
}));

/** One entry's news. */
export const quarantineNews = z.tuple([
  list(crash),
  list(text),
  list(holdNotice),
]).transform(([crashes, answered, holds]) => ({ crashes, answered, holds }));

/** Writes a notice. */
export function encodeHoldNotice(notice: HoldNotice): unknown[] {
  return [
    notice.content,
    notice.caller ?? "",
    notice.service,
    notice.versions,
    notice.term,
    Math.round(notice.remaining),
    notice.released,
  ];
}

/** Writes news. */
export function encodeQuarantineNews(
  { crashes, answered, holds }: QuarantineNews,
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
        { content, caller, exposure },
      ) => [content, caller, exposure]),
    ]),
    answered,
    holds.map(encodeHoldNotice),
  ];
}
