/**
 * What crashes of endpoints are attributed to.
 *
 * Most often a request crashes endpoints by something that it has in common with others of which no two are alike,
 * so that crashes are counted for each part of its prompt beside the whole request.
 *
 * @module
 */
import {
  type CallerDigest,
  type ContentDigest,
  PART_PREFIX,
  type PartDigest,
} from "../ids/index.ts";
import type { RequestFingerprint } from "./fingerprint.ts";

/**
 * A whole request, a part of prompts, or a group of parts that came together each time. Entries of earlier versions
 * take the last two for requests that nobody sends, and pass on what others tell of them.
 */
export type CrashSubject = ContentDigest | PartDigest;

/** Stands for the caller of a part: requests with it are held whoever sends them. */
export const ANY_CALLER = "" as CallerDigest;

const GROUP_SEPARATOR = "+";

/** Returns everything in a request to which a crash may be attributed. */
export function subjectsOf(
  { content, parts = [] }: Pick<RequestFingerprint, "content" | "parts">,
): readonly CrashSubject[] {
  return [content, ...parts];
}

/** Whether a subject is a part of prompts or a group of them. */
export function isPart(subject: CrashSubject): subject is PartDigest {
  return subject.startsWith(PART_PREFIX);
}

/** Returns the group of some parts, the same in whatever order they are given. */
export function groupOf(parts: readonly PartDigest[]): PartDigest {
  const names = parts.map((part) => part.slice(PART_PREFIX.length)).sort();
  return `${PART_PREFIX}${names.join(GROUP_SEPARATOR)}` as PartDigest;
}

/** Returns the members of a group, or the subject itself. */
export function membersOf(subject: CrashSubject): readonly CrashSubject[] {
  return isPart(subject)
    ? subject.slice(PART_PREFIX.length).split(GROUP_SEPARATOR)
      .map((name) => `${PART_PREFIX}${name}` as PartDigest)
    : [subject];
}
