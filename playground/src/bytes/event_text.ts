/**
 * The event stream that a run of a request produces, and the check of what its caller received.
 *
 * @module
 */

/** How an engine formats its events. */
export interface EventStyle {
  readonly lineEnd: "\n" | "\r\n";
  /** Whether some events begin with a line of a further field. */
  readonly versions: boolean;
  /** Whether comments precede some events. */
  readonly comments: boolean;
  /** Whether events have an `id` line with their number. */
  readonly ids: boolean;
  /** Bytes added to each event. */
  readonly padding?: number;
}

/** The format of most engines. */
export const PLAIN_STYLE: EventStyle = {
  lineEnd: "\n",
  versions: false,
  comments: false,
  ids: true,
};

const VERSION_EVERY_EVENTS = 3;
const COMMENT_EVERY_EVENTS = 4;

/** Formats the event with the number `id`, counted from 1. */
export function formatEvent(
  call: string,
  id: number,
  { lineEnd, versions, comments, ids, padding = 0 }: EventStyle = PLAIN_STYLE,
): string {
  const filler = ".".repeat(padding);
  const lines = [`data: {"call":"${call}","piece":${id}}${filler}`, "", ""];
  if (ids) {
    lines.unshift(`id: ${id}`);
  }
  if (versions && id % VERSION_EVERY_EVENTS === 0) {
    lines.unshift("x-weight-versions: 7");
  }
  if (comments && id % COMMENT_EVERY_EVENTS === 0) {
    lines.unshift(": still there", "");
  }
  return lines.join(lineEnd);
}

/** All events of a run after the event number `after`. */
export function eventsOf(
  call: string,
  { count, after = 0, style }: {
    count: number;
    after?: number;
    style?: EventStyle;
  },
): string {
  return Array.from(
    { length: Math.max(0, count - after) },
    (_, index) => formatEvent(call, after + index + 1, style),
  ).join("");
}

/** An answer as its caller received it. */
export interface SeenAnswer {
  readonly status: number;
  readonly body: string;
  /** How the answer ended: complete, visibly broken off, still open at the caller's timeout, or left by the caller. */
  readonly end: "whole" | "broken" | "open" | "left";
}

/** Describes what is wrong with an answer, given the complete body; `undefined` if it is correct. */
export function faultOf(
  { body, end }: SeenAnswer,
  { whole, style = PLAIN_STYLE }: { whole: string; style?: EventStyle },
): string | undefined {
  if (!whole.startsWith(body)) {
    return `bytes that no run produced: ${describeDifference(body, whole)}`;
  }
  if (end === "whole") {
    return body === whole
      ? undefined
      : `ended as complete after ${body.length} of ${whole.length} bytes`;
  }
  if (end === "left") {
    return undefined;
  }
  const { lineEnd } = style;
  const boundary = body === "" || body.endsWith(`${lineEnd}${lineEnd}`);
  return boundary ? undefined : `ends inside an event: ${quoteTail(body)}`;
}

const CONTEXT_CHARACTERS = 60;

function describeDifference(body: string, whole: string): string {
  let at = 0;
  while (at < body.length && body[at] === whole[at]) {
    at++;
  }
  const from = Math.max(0, at - CONTEXT_CHARACTERS);
  return `at ${at} ${
    JSON.stringify(body.slice(from, at + CONTEXT_CHARACTERS))
  } for ${JSON.stringify(whole.slice(from, at + CONTEXT_CHARACTERS))}`;
}

function quoteTail(body: string): string {
  return JSON.stringify(body.slice(-CONTEXT_CHARACTERS));
}
