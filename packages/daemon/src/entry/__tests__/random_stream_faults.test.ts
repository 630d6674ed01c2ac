import type { Socket } from "node:net";
import { SeededRandomness } from "@sassafrasstep/core";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import {
  type CallerAnswer,
  type EndpointScript,
  EntryFixture,
  type ReceivedAttempt,
} from "./entry_fixture.ts";
import {
  classifyAnswer,
  classifyWholeAnswer,
  CONNECTION_ENDS,
  framesOf,
  responseOf,
  STREAM_ENCODINGS,
  writePieces,
} from "./stream_fixture.ts";

/** Number of random streams. */
const CASES = Number(process.env["WIRE_CASES"] ?? 150);
const SEED = Number(process.env["WIRE_SEED"] ?? 1);
const CONCURRENCY = 75;
const DEADLINE_MS = 800;

type Draw = <Item>(items: readonly Item[]) => Item;

/** Faults that an engine introduces into its frames, by name. */
const FRAME_FAULTS: Readonly<
  Record<
    string,
    (frames: string[], position: number, attempt: ReceivedAttempt) => string[]
  >
> = {
  none: (frames) => frames,
  "each twice": (frames) => frames.flatMap((frame) => [frame, frame]),
  "end mark first": (frames) => [frames.at(-1)!, ...frames.slice(0, -1)],
  "last to first": (frames) => frames.toReversed(),
  "another request's between": (frames) =>
    frames.flatMap((frame) => [
      JSON.stringify({ ...JSON.parse(frame), id: "other", token: "SECRET" }),
      frame,
    ]),
  "the attempt's before between": (frames, _place, { id, number }) =>
    frames.flatMap((frame) => [
      JSON.stringify({
        ...JSON.parse(frame),
        id: id.replace(/\d+$/, String(number - 1)),
        token: "SECRET",
      }),
      frame,
    ]),
  "one is missing": (frames, position) =>
    frames.toSpliced(Math.floor(position * frames.length), 1),
  "one is no frame": (frames, position) =>
    frames.with(Math.floor(position * frames.length), "nonsense"),
  "two end marks": (frames) => [
    ...frames.slice(0, -1),
    JSON.stringify({ ...JSON.parse(frames.at(-1)!), offset: 0 }),
    frames.at(-1)!,
  ],
};
const FORWARDED_STATUS = 404;
const NON_STREAM_ANSWERS = [
  "HTTP/1.1 500 Oops\r\ncontent-length: 4\r\n\r\noops",
  "HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n",
  `HTTP/1.1 ${FORWARDED_STATUS} Not Found\r\ncontent-length: 0\r\n\r\n`,
  "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ncontent-length: 0\r\n\r\n",
  "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nconnection: close\r\n\r\nevent: error\ndata: {}\n\n",
  "nonsense\r\n\r\n",
];

/** Draws how one attempt is answered. */
function drawScript(draw: Draw): EndpointScript {
  const encoding = draw(STREAM_ENCODINGS);
  const fault = draw(["none", "none", ...Object.keys(FRAME_FAULTS)]);
  const size = draw([1, 2, 7, 100, Infinity]);
  const mode = draw(["whole", "cut", "cut", "cut", "silent", "other"]);
  const position = draw(Array.from({ length: 100 }, (_, index) => index / 100));
  const stop = draw(Object.values(CONNECTION_ENDS));
  const other = draw(NON_STREAM_ANSWERS);
  return async (socket, attempt) => {
    if (mode === "other") {
      socket.write(other);
      return;
    }
    const frames = FRAME_FAULTS[fault]!(
      framesOf(attempt),
      position,
      attempt,
    );
    const { bytes } = responseOf(frames, encoding);
    const cutAt = mode === "whole"
      ? bytes.length
      : Math.floor(position * bytes.length);
    await writePieces(socket, bytes.subarray(0, cutAt), size);
    if (mode === "cut") {
      stop(socket);
    } else if (mode === "whole" && encoding.framing === "closing") {
      socket.end();
    }
  };
}

/** Whether the answer is an engine's own refusal, which is forwarded unless it ends a resumed stream. */
function isForwardedRefusal({ status, header }: CallerAnswer): boolean {
  return status === FORWARDED_STATUS &&
    header("sassafrasstep-verdict") === "ran";
}

describe("streams with random faults", () => {
  const fixture = new EntryFixture();

  beforeAll(async () => {
    await fixture.start({ pool: 6 });
  });
  afterAll(async () => {
    await fixture.stop();
  });

  // Engines write, corrupt and cut their streams in random ways, in up to six attempts per answer that may
  // break at any point. A caller gets the output of one run, or a part with a visible error after a complete
  // event.
  it(`carry the output of one run, seed ${SEED}`, async () => {
    const random = new SeededRandomness(SEED);
    const draw: Draw = (items) =>
      items[Math.floor(random.next() * items.length)]!;
    const violations: string[] = [];
    const outcomeCounts = new Map<string, number>();
    const sockets: Socket[] = [];
    const runCase = async (number: number): Promise<void> => {
      const scripts = Array.from({ length: 5 }, () => drawScript(draw));
      const last: EndpointScript = (socket, attempt) =>
        socket.write(responseOf(framesOf(attempt), STREAM_ENCODINGS[0]!).bytes);
      const stream = draw([true, true, true, false]);
      let resumed = false;
      const answer = await fixture.chat((socket, attempt) => {
        sockets.push(socket);
        resumed ||= attempt.startAt > 0;
        return ([...scripts, last][attempt.number - 1] ?? last)(
          socket,
          attempt,
        );
      }, {
        stream,
        headers: { "sassafrasstep-deadline-ms": `${DEADLINE_MS}` },
      });
      const outcome = isForwardedRefusal(answer) && !resumed
        ? "passed on"
        : stream
        ? classifyAnswer(answer)
        : classifyWholeAnswer(answer);
      const category = outcome.startsWith("bad") ? "bad" : outcome;
      outcomeCounts.set(category, (outcomeCounts.get(category) ?? 0) + 1);
      if (category === "bad") {
        violations.push(`${number}: ${outcome}`);
      }
    };
    for (let number = 0; number < CASES; number += CONCURRENCY) {
      await Promise.all(
        Array.from(
          { length: CONCURRENCY },
          (_, index) => runCase(number + index),
        ),
      );
    }
    sockets.forEach((socket) => socket.destroy());
    expect(violations).toEqual([]);
    expect(outcomeCounts.get("whole")).toBeGreaterThan(0);
  });
});
