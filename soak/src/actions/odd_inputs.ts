/**
 * Draws bytes that nobody would send, for the listeners of callers and of the directory.
 *
 * @module
 */
import { API_PATHS, HEADERS } from "@sassafrasstep/platform";
import type { Draw } from "../draw.ts";

/** Bytes for a listener, sent in parts. */
export interface OddInput {
  /** Id that the bytes name, unless a mutation has reached it. */
  readonly call: string;
  readonly entry: number;
  readonly listener: "callers" | "directory";
  readonly atMs: number;
  /** Latin-1 text of each part. */
  readonly parts: readonly string[];
  readonly end: "waits" | "closes" | "resets";
}

const METHODS = [
  "POST",
  "POST",
  "POST",
  "GET",
  "HEAD",
  "CONNECT",
  "TRACE",
  "P",
];
const ROUTES = ["once", "again", "stream", "resume", "homeOnce", "none"];
const TARGETS = [
  "//",
  "//[",
  "/\\",
  "/%",
  "*",
  "http://",
  "http://[",
  "http://x:80800/",
  "/r/../a",
  `/${"a".repeat(20_000)}`,
];
const HOSTS = ["99999999999999999999", "[", "a b", "x:80800", "%", "", "::"];
const VALUES = [
  "",
  "-1",
  "0",
  "1e99",
  "NaN",
  "9007199254740993",
  "1,2,3,4",
  "a:b,c",
  "\xff\xfe",
  "x".repeat(9_000),
];
const FRAMINGS = [
  "content-length: -1",
  "content-length: 99999999999999999999",
  "content-length: 5, 6",
  "content-length: 5\r\ncontent-length: 6",
  "content-length: 5\r\ntransfer-encoding: chunked",
  "transfer-encoding: chunked, chunked",
  "transfer-encoding: gzip",
  "transfer-encoding: chunked",
];
/** Headers that the gateway reads. */
const READ_HEADERS = [
  ...Object.values(HEADERS),
  "connection",
  "expect",
  "upgrade",
  "content-type",
];
const MAX_MUTATIONS = 4;
const BYTE_COUNT = 256;
const HEAD_END = "\r\n\r\n";

/** Draws an input whose request names the call. */
export function drawOddInput(
  draw: Draw,
  call: string,
  { entries, windowMs }: { entries: number; windowMs: number },
): OddInput {
  const listener = draw.pick(["callers", "callers", "directory"] as const);
  let text = draw.chance(0.05)
    ? drawBytes(draw, draw.integer(1, 2_000))
    : drawRequest(draw, { call, listener });
  const mutations = draw.integer(0, MAX_MUTATIONS);
  for (let index = 0; index < mutations; index++) {
    text = mutate(draw, text);
  }
  const cut = draw.integer(0, text.length);
  return {
    call,
    entry: draw.integer(0, entries - 1),
    listener,
    atMs: draw.integer(0, windowMs),
    parts: draw.chance(0.3) ? [text.slice(0, cut), text.slice(cut)] : [text],
    end: draw.pick(["waits", "closes", "resets"]),
  };
}

/** Draws a request that is sound but for some of its lines. */
function drawRequest(
  draw: Draw,
  { call, listener }: Pick<OddInput, "call" | "listener">,
): string {
  const soundTarget = listener === "callers"
    ? `/${draw.pick(ROUTES)}/${call}`
    : `${API_PATHS.resolve}?name=kiosk.example&region=a&zone=a-1`;
  const target = draw.chance(0.2) ? draw.pick(TARGETS) : soundTarget;
  const host = draw.chance(0.15) ? draw.pick(HOSTS) : "kiosk.example";
  const method = listener === "directory" ? "GET" : draw.pick(METHODS);
  const body = "x".repeat(draw.pick([0, 5, 300]));
  const framing = draw.chance(0.3)
    ? draw.pick(FRAMINGS)
    : `content-length: ${body.length}`;
  const odd = draw.chance(0.5)
    ? [`${draw.pick(READ_HEADERS)}: ${draw.pick(VALUES)}`]
    : [];
  return [
    `${method} ${target} HTTP/1.1`,
    `host: ${host}`,
    `${HEADERS.callId}: ${call}`,
    `${HEADERS.timeLeft}: 3000`,
    framing,
    ...odd,
  ].join("\r\n") + HEAD_END + body;
}

function mutate(draw: Draw, text: string): string {
  const at = draw.integer(0, text.length);
  const to = Math.min(text.length, at + draw.pick([1, 1, 2, 20]));
  const before = text.slice(0, at);
  switch (
    draw.pick(["replace", "insert", "delete", "repeat", "cut", "none"])
  ) {
    case "replace":
      return before + drawBytes(draw, to - at) + text.slice(to);
    case "insert":
      return before + drawBytes(draw, draw.pick([1, 3, 200])) + text.slice(at);
    case "delete":
      return before + text.slice(to);
    case "repeat":
      return text.slice(0, to) + text.slice(at);
    case "cut":
      return before;
    default:
      return text;
  }
}

function drawBytes(draw: Draw, count: number): string {
  return Array.from(
    { length: count },
    () => String.fromCharCode(draw.integer(0, BYTE_COUNT - 1)),
  ).join("");
}
