/**
 * The bytes that a run of a request makes, and what its caller may get of them.
 *
 * @module
 */

/** How an engine writes its events. */
export interface EventStyle {
  readonly lineEnd: "\n" | "\r\n";
  /** Whether some events begin with a line of another field. */
  readonly versions: boolean;
  /** Whether comments stand between events. */
  readonly comments: boolean;
  /** Whether events say their numbers. */
  readonly ids: boolean;
  /** Bytes that each event is longer by. */
  readonly padding?: number;
}

/** Events as most engines write them. */
export const PLAIN_STYLE: EventStyle = {
  lineEnd: "\n",
  versions: false,
  comments: false,
  ids: true,
};

const VERSION_EVERY = 3;
const COMMENT_EVERY = 4;

/** The event with a number, counted from 1. */
export function eventOf(
  call: string,
  id: number,
  { lineEnd, versions, comments, ids, padding = 0 }: EventStyle = PLAIN_STYLE,
): string {
  const filler = ".".repeat(padding);
  const lines = [`data: {"call":"${call}","piece":${id}}${filler}`, "", ""];
  if (ids) {
    lines.unshift(`id: ${id}`);
  }
  if (versions && id % VERSION_EVERY === 0) {
    lines.unshift("x-weight-versions: 7");
  }
  if (comments && id % COMMENT_EVERY === 0) {
    lines.unshift(": still there", "");
  }
  return lines.join(lineEnd);
}

/** All events of a run after the one with a number. */
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
    (_, index) => eventOf(call, after + index + 1, style),
  ).join("");
}

/** What a caller saw of an answer. */
export interface SeenAnswer {
  readonly status: number;
  readonly body: string;
  /** How the answer ended: told whole, visibly broken, not within the caller's time, or left by its caller. */
  readonly end: "whole" | "broken" | "open" | "left";
}

/** What is wrong with an answer, `undefined` for nothing. */
export function faultOf(
  { body, end }: SeenAnswer,
  { whole, style = PLAIN_STYLE }: { whole: string; style?: EventStyle },
): string | undefined {
  if (!whole.startsWith(body)) {
    return `bytes that no run made: ${differenceOf(body, whole)}`;
  }
  if (end === "whole") {
    return body === whole
      ? undefined
      : `told whole after ${body.length} of ${whole.length} bytes`;
  }
  if (end === "left") {
    return undefined;
  }
  const { lineEnd } = style;
  const boundary = body === "" || body.endsWith(`${lineEnd}${lineEnd}`);
  return boundary ? undefined : `ends inside an event: ${tailOf(body)}`;
}

const SHOWN = 60;

function differenceOf(body: string, whole: string): string {
  let at = 0;
  while (at < body.length && body[at] === whole[at]) {
    at++;
  }
  const from = Math.max(0, at - SHOWN);
  return `at ${at} ${JSON.stringify(body.slice(from, at + SHOWN))} for ${
    JSON.stringify(whole.slice(from, at + SHOWN))
  }`;
}

function tailOf(body: string): string {
  return JSON.stringify(body.slice(-SHOWN));
}
