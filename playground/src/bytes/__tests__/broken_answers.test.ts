import { HEADERS } from "@sassafrasstep/platform";
import { afterAll, afterEach, beforeAll, describe, expect, it } from "vitest";
import { callPlatform } from "../../platform/platform_caller.ts";
import {
  BreakingEndpoint,
  type BreakingScript,
  ByteFleet,
  eventually,
} from "../index.ts";

const BODY = "0123456789";
const FIRST_EVENT = "id: 1\ndata: one\n\n";
const EVENTS = `${FIRST_EVENT}id: 2\ndata: two\n\n`;
/** Larger than the buffers of both sockets, so that a part stays queued while the endpoint reads nothing. */
const QUEUED_UPLOAD = "u".repeat(16_000_000);
const OK = 200;
const BAD_GATEWAY = 502;
const OK_LINE = "HTTP/1.1 200 OK";
const SOUND_REQUESTS = 3;
/** Kinds of routes with their path and the tokens of a request. */
const ROUTES = [
  ["non_idempotent", "action", undefined],
  ["idempotent", "plain", undefined],
  ["stream", "once", "10,100"],
  ["resumable stream", "resume", "10,100"],
] as const;
/** Entries by the way on which they reach the endpoint. */
const WAYS = [["sent directly", 0], ["relayed", 1]] as const;

/** What a caller got as complete: a status and a body. */
type Outcome = { status: number; body: string } | "broken";

/** A request with a body. */
interface Upload {
  readonly path: string;
  /** Tokens of the prompt and of the answer, for a stream. */
  readonly tokens: string | undefined;
  readonly upload: string;
}

/** An endpoint in region `a`, and an entry of each of two regions. */
class AnswerFleet {
  script: (call: string) => BreakingScript = () => {
    throw new Error("No answer was set");
  };
  readonly endpoint = new BreakingEndpoint("e1", (call) => this.script(call));
  readonly #fleet = new ByteFleet({
    engines: [{ engine: this.endpoint, region: "a" }],
    entries: ["a", "b"],
    bodyBytes: QUEUED_UPLOAD.length,
  });
  #calls = 0;
  #endpoints = 1;

  start(): Promise<void> {
    return this.#fleet.start();
  }

  close(): Promise<void> {
    return this.#fleet.close();
  }

  /** Gives the endpoint another id: entries avoid one for a while after a lost answer. */
  renewEndpoint(): void {
    const [{ address }] = this.#fleet.engines as [{ address: string }];
    this.#fleet.withdraw(`e${this.#endpoints}`);
    this.#endpoints++;
    this.#fleet.publish(`e${this.#endpoints}`, { address });
  }

  /** Sends requests until one reaches the endpoint. */
  async sendUntilAnswered(entry: number, request: Upload): Promise<Outcome> {
    const { length: before } = this.endpoint.arrivals;
    let outcome: Outcome | undefined;
    await eventually(async () => {
      outcome = await this.send(entry, request);
      return this.endpoint.arrivals.length > before;
    });
    return outcome!;
  }

  /** Sends a request and reads the answer to its end. */
  async send(
    entry: number,
    { path, tokens, upload }: Upload,
  ): Promise<Outcome> {
    try {
      const { status, body } = await callPlatform(
        this.#fleet.entries[entry]!.callers,
        {
          path: `/${path}/x`,
          call: `call-${this.#calls++}`,
          body: upload,
          ...(tokens === undefined ? {} : { tokens }),
        },
      );
      return { status, body };
    } catch {
      return "broken";
    }
  }
}

/** The head of an endpoint's answer to a call, with a further field. */
function headOf(
  call: string,
  { line = OK_LINE, field, tokens }: {
    line?: string;
    field: string;
    tokens: string | undefined;
  },
): string {
  const type = tokens === undefined ? "text/plain" : "text/event-stream";
  return [
    line,
    `${HEADERS.callId}: ${call}`,
    `${HEADERS.seal}: s`,
    `content-type: ${type}`,
    field,
    "\r\n",
  ].join("\r\n");
}

const FLEET = new AnswerFleet();
beforeAll(() => FLEET.start());
afterEach(() => FLEET.renewEndpoint());
afterAll(() => FLEET.close());

/** Ways in which the end of an answer is marked by its connection alone, with the upload to which it is sent. */
const UNFRAMED = [
  ["while the upload is queued", "connection: close", QUEUED_UPLOAD],
  ["and it has no length", "connection: close", ""],
  ["and it has the coding identity", "transfer-encoding: identity", ""],
  ["and it has the coding gzip", "transfer-encoding: gzip", ""],
  ["and it has an unknown coding", "transfer-encoding: x-chunked", ""],
] as const;

describe.each(ROUTES)("an answer of a %s route", (_kind, path, tokens) => {
  const body = tokens === undefined ? BODY : EVENTS;

  describe.each(WAYS)("to a request that was %s", (_way, entry) => {
    // Guards against answers that are refused although they are whole.
    it.each(UNFRAMED)(
      "is served if its connection ends in order %s",
      async (_case, field, upload) => {
        FLEET.script = (call) => ({
          bytes: headOf(call, { field, tokens }) + body,
          ending: "end",
          readsBody: upload === "",
        });
        for (let count = 0; count < SOUND_REQUESTS; count++) {
          expect(await FLEET.send(entry, { path, tokens, upload }))
            .toEqual({ status: OK, body });
        }
      },
    );
  });
});

describe.each(ROUTES)("a part of an answer of a %s route", (...route) => {
  const [, path, tokens] = route;
  const part = tokens === undefined ? BODY.slice(0, 5) : FIRST_EVENT;

  describe.each(WAYS)("to a request that was %s", (_way, entry) => {
    // Guards against a part that its caller gets as the whole answer.
    it.each(UNFRAMED)(
      "is not complete if its connection is reset %s",
      async (_case, field, upload) => {
        FLEET.script = (call) => ({
          bytes: headOf(call, { field, tokens }) + part,
          ending: "reset",
          readsBody: upload === "",
        });
        const outcome = await FLEET.sendUntilAnswered(entry, {
          path,
          tokens,
          upload,
        });
        expect(outcome).not.toMatchObject({ status: OK });
      },
    );
  });
});

/** Heads that are not valid HTTP/1: a status line, and a field. */
const MALFORMED = [
  ["is of HTTP/2.0", "HTTP/2.0 200 OK", ""],
  ["is of RTSP/1.0", "RTSP/1.0 200 OK", ""],
  ["has the status 000", "HTTP/1.1 000 x", ""],
  ["has a blank in a field's name", OK_LINE, "x y: 1\r\n"],
  ["has a control byte in a field's name", OK_LINE, "x\x01y: 1\r\n"],
] as const;

describe.each(ROUTES)("an answer of a %s route", (_kind, path, tokens) => {
  const body = tokens === undefined ? BODY : EVENTS;

  describe.each(WAYS)("to a request that was %s", (_way, entry) => {
    // Guards against what is no answer in the protocol and reaches a caller as one.
    it.each(MALFORMED)(
      "is not passed on if it %s",
      async (_case, line, field) => {
        FLEET.script = (call) => ({
          bytes: headOf(call, {
            line,
            field: `${field}content-length: ${body.length}`,
            tokens,
          }) + body,
          ending: "end",
          readsBody: true,
        });
        const outcome = await FLEET.sendUntilAnswered(entry, {
          path,
          tokens,
          upload: "",
        });
        expect(outcome).toMatchObject({ status: BAD_GATEWAY });
      },
    );
  });
});
