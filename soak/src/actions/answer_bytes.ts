/**
 * The bytes of answers, refusals and extra answers.
 *
 * @module
 */
import { HEADERS } from "@sassafrasstep/platform";
import type { RawRequest } from "@sassafrasstep/playground/bytes";
import type { ExtraBehaviour, RunPlan } from "./behaviours.ts";

const OK = 200;
const MISDIRECTED = 421;
const UNAVAILABLE = 503;
const HEAD_END = "\r\n\r\n";

/** The whole answer to a plain request. */
export function plainBody(call: string): string {
  return `answer to ${call}`;
}

/** An event of a stream. */
export function formatEvent(id: number): string {
  return `id: ${id}\ndata: event ${id}\n\n`;
}

/** The parts of the answer to a request: the head, then the body or each event, then the end. */
export function answerParts(
  { call, headers, after }: RawRequest,
  { behaviour, events, closes }: RunPlan,
): string[] {
  const status = behaviour.kind === "fails" ? behaviour.status : OK;
  const isSealed = behaviour.kind !== "fails" || behaviour.sealed;
  const lines = [
    `HTTP/1.1 ${status} x`,
    ...isSealed
      ? [`${HEADERS.callId}: ${call}`, `${HEADERS.seal}: seal-${call}`]
      : [],
  ];
  if (closes === "announced") {
    lines.push("connection: close");
  }
  const isStream = headers.has(HEADERS.tokenCounts) && status === OK;
  if (!isStream) {
    const body = plainBody(call);
    lines.push(`content-length: ${body.length}`);
    return [lines.join("\r\n") + HEAD_END, body];
  }
  lines.push("content-type: text/event-stream", "transfer-encoding: chunked");
  const chunks = Array.from(
    { length: Math.max(0, events - after) },
    (_, index) => {
      const event = formatEvent(after + index + 1);
      return `${event.length.toString(16)}\r\n${event}\r\n`;
    },
  );
  return [lines.join("\r\n") + HEAD_END, ...chunks, "0\r\n\r\n"];
}

/** A refusal, which names no request if `call` is not given. */
export function formatRefusal(
  status: number,
  call: string | undefined,
  lines: readonly string[] = [],
): string {
  return [
    `HTTP/1.1 ${status} x`,
    `${HEADERS.notRun}: 1`,
    ...call === undefined ? [] : [`${HEADERS.callId}: ${call}`],
    ...lines,
    "content-length: 0",
  ].join("\r\n") + HEAD_END;
}

/** The bytes of an extra answer after that to a call. */
export function formatExtra(
  { extra, part }: ExtraBehaviour,
  call: string,
  parts: readonly string[],
): string {
  switch (extra) {
    case "copy":
      return parts.join("");
    case "bareRefusal":
      return formatRefusal(UNAVAILABLE, undefined);
    case "namedRefusal":
      return formatRefusal(UNAVAILABLE, call);
    case "misdirected":
      return formatRefusal(MISDIRECTED, undefined);
    case "foreign":
      return [
        `HTTP/1.1 ${OK} x`,
        `${HEADERS.callId}: foreign`,
        `${HEADERS.seal}: seal-foreign`,
        "content-length: 7",
      ].join("\r\n") + HEAD_END + "foreign";
    case "tornRefusal": {
      const lines = [`${HEADERS.retryAfter}: 1`];
      return tear(formatRefusal(UNAVAILABLE, undefined, lines), part);
    }
  }
}

/** Cuts a head at a byte, or at the end of a line, where what follows becomes a part of that line's value. */
function tear(head: string, part: number): string {
  const cut = Math.floor(part * head.length);
  const lineEnd = head.indexOf("\r\n", cut);
  return head.slice(0, cut % 2 === 0 || lineEnd < 0 ? cut : lineEnd);
}
