/**
 * Schemas of what entries tell each other about crashed endpoints and about what is held back because of them.
 *
 * @module
 */
import type { HoldNotice, QuarantineUpdate } from "@sassafrasstep/core";
import { z } from "zod";
import {
  boundedArray,
  endpointLife,
  nonNegativeInteger,
  number,
  shortText,
} from "./schema_parts.ts";

/** Maximum length of a message, which has room for several crashes with all their victims. */
const MAX_MESSAGE_CHARACTERS = 65_536;

const victim = z.tuple([shortText, shortText, number, z.boolean()]).transform(
  ([subject, caller, exposure, trial]) => ({
    subject,
    caller,
    exposure,
    trial,
  }),
);
const crash = z.tuple([
  shortText,
  endpointLife,
  shortText,
  shortText,
  shortText,
  number,
  nonNegativeInteger,
  boundedArray(victim),
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

const answered = z.tuple([shortText, shortText]).transform(
  ([subject, softwareVersion]) => ({ subject, softwareVersion }),
);

const tried = z.tuple([shortText, z.boolean()]).transform(
  ([subject, sent]) => ({ subject, sent }),
);

/** Schema of a notice about a request that is held back; an empty caller stands for all callers. */
export const holdNoticeSchema = z.tuple([
  shortText,
  shortText,
  shortText,
  boundedArray(shortText),
  boundedArray(shortText),
  nonNegativeInteger,
  number,
  z.boolean(),
]).transform((
  [subject, caller, service, versions, mended, term, remaining, released],
) => ({
  subject,
  caller: caller === "" ? undefined : caller,
  service,
  versions,
  mended,
  term,
  remaining,
  released,
}));

/**
 * Sets the endpoint of a trial apart in the list of what was tried. Entries of earlier versions accept no other list, and
 * take it for a request that nobody sends.
 */
const ENDPOINT_MARK = "@";

function isEndpointItem(subject: string): boolean {
  return subject.startsWith(ENDPOINT_MARK);
}

/** Schema of an entry's quarantine news. */
export const quarantineNewsSchema = z.tuple([
  boundedArray(crash),
  boundedArray(answered),
  boundedArray(tried),
  boundedArray(holdNoticeSchema),
]).transform(([crashes, answered, tried, holds]) => ({
  crashes,
  answered,
  tried: tried.filter(({ subject }) => !isEndpointItem(subject)),
  onTrial: tried.filter(({ subject }) => isEndpointItem(subject))
    .map(({ subject }) => subject.slice(ENDPOINT_MARK.length)),
  holds,
}));

/** Schema of quarantine news as JSON text, the form in which peers send them over tRPC. */
export const quarantineNewsTextSchema = z.string().max(MAX_MESSAGE_CHARACTERS)
  .transform(
    (text, context): QuarantineUpdate => {
      const result = quarantineNewsSchema.safeParse(parseJson(text));
      if (!result.success) {
        context.addIssue("Expected quarantine news");
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

/** Encodes a notice about a request that is held back. */
export function encodeHoldNotice(notice: HoldNotice): unknown[] {
  return [
    notice.subject,
    notice.caller ?? "",
    notice.service,
    notice.versions,
    notice.mended,
    notice.term,
    Math.round(notice.remaining),
    notice.released,
  ];
}

/** Encodes quarantine news. */
export function encodeQuarantineNews(
  { crashes, answered, tried, onTrial, holds }: QuarantineUpdate,
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
        { subject, caller, exposure, trial },
      ) => [subject, caller, exposure, trial]),
    ]),
    answered.map(({ subject, softwareVersion }) => [subject, softwareVersion]),
    [
      ...tried.map(({ subject, sent }) => [subject, sent]),
      ...onTrial.map((endpoint) => [`${ENDPOINT_MARK}${endpoint}`, true]),
    ],
    holds.map(encodeHoldNotice),
  ];
}
