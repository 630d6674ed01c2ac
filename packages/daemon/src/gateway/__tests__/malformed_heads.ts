/**
 * Answers whose heads are not valid HTTP/1.
 *
 * @module
 */

const STATUS_LINE = "HTTP/1.1 200 OK";

/** Lines of a head; `LENGTH` stands for the length of the body. */
interface HeadParts {
  readonly statusLine?: string;
  readonly fields?: readonly string[];
  /** The line that marks the end of the body. */
  readonly framing?: string;
}

const FRAMING = "content-length: LENGTH";

const PARTS: readonly (readonly [name: string, parts: HeadParts])[] = [
  ...["000", "001", "099", "0", "20", "2000", "1e2", "-200", "OK", " 200"].map(
    (status) =>
      [`the status ${status}`, { statusLine: `HTTP/1.1 ${status} x` }] as const,
  ),
  ...["HTTP/0.9", "HTTP/1.2", "HTTP/2.0", "HTTP/2", "RTSP/1.0", "http/1.1"].map(
    (version) =>
      [`the version ${version}`, { statusLine: `${version} 200 OK` }] as const,
  ),
  [
    "another version after an interim response",
    { statusLine: "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/2.0 200 OK" },
  ],
  ["a blank in a field's name", { fields: ["x y: 1"] }],
  ["a blank after a field's name", { fields: ["x : 1"] }],
  ["a blank after the name of the length", {
    framing: "content-length : LENGTH",
  }],
  ["a tab in a field's name", { fields: ["x\ty: 1"] }],
  ["a control byte in a field's name", { fields: ["x\x01y: 1"] }],
  ["a NUL in a field's name", { fields: ["x\0y: 1"] }],
  ["a byte 127 in a field's name", { fields: ["x\x7fy: 1"] }],
  ["a byte 128 in a field's name", { fields: ["x\x80y: 1"] }],
  ["an empty name of a field", { fields: [": 1"] }],
  ["a field without a colon", { fields: ["xy"] }],
  ["a folded field", { fields: ["x: 1", " y"] }],
  ["a NUL in a field's value", { fields: ["x: a\0b"] }],
  ["a control byte in a field's value", { fields: ["x: a\x01b"] }],
  ["a carriage return in a field's value", { fields: ["x: a\rb"] }],
  ["an empty length", { framing: "content-length:" }],
  ["a length with a sign", { framing: "content-length: +LENGTH" }],
  ["a hexadecimal length", { framing: "content-length: 0xLENGTH" }],
  ["a list of lengths", { framing: "content-length: LENGTH, LENGTH" }],
  ["two lengths", { fields: ["content-length: 4"] }],
  ["the same length twice", { fields: [FRAMING] }],
  ["a length and a coding", { fields: ["transfer-encoding: chunked"] }],
];

/** A malformed answer with a body, and with the fields that prove whose it is. */
export type MalformedAnswer = (
  body: string,
  ownFields?: readonly string[],
) => string;

/** Answers by what is wrong with their heads. */
export const MALFORMED_HEADS: readonly (readonly [string, MalformedAnswer])[] =
  PARTS.map(([name, { statusLine = STATUS_LINE, fields = [], framing }]) => [
    name,
    (body, ownFields = []) =>
      [
        statusLine,
        ...ownFields,
        ...fields,
        framing ?? FRAMING,
      ].join("\r\n").replaceAll("LENGTH", String(body.length)) +
      `\r\n\r\n${body}`,
  ]);
