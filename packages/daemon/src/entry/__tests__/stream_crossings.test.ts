import type { Socket } from "node:net";
import { SeededRandomness } from "@sassafrasstep/core";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import {
  type CallerAnswer,
  EntryFixture,
  type Script,
  type SeenAttempt,
} from "./entry_fixture.ts";
import {
  framesOf,
  judge,
  judgeHeld,
  responseOf,
  STOPS,
  writePieces,
  WRITINGS,
} from "./stream_fixture.ts";

/** Streams that are drawn; more by hand. */
const CASES = Number(process.env["WIRE_CASES"] ?? 150);
const SEED = Number(process.env["WIRE_SEED"] ?? 1);
const AT_ONCE = 75;
const DEADLINE_MS = 800;

type Draw = <Item>(items: readonly Item[]) => Item;

/** Ways in which an engine disturbs its frames. */
const DISTURBANCES: Readonly<
  Record<
    string,
    (frames: string[], place: number, attempt: SeenAttempt) => string[]
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
  "one is missing": (frames, place) =>
    frames.toSpliced(Math.floor(place * frames.length), 1),
  "one is no frame": (frames, place) =>
    frames.with(Math.floor(place * frames.length), "nonsense"),
  "two end marks": (frames) => [
    ...frames.slice(0, -1),
    JSON.stringify({ ...JSON.parse(frames.at(-1)!), offset: 0 }),
    frames.at(-1)!,
  ],
};
const PASSED_ON = 404;
const OTHER_ANSWERS = [
  "HTTP/1.1 500 Oops\r\ncontent-length: 4\r\n\r\noops",
  "HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n",
  `HTTP/1.1 ${PASSED_ON} Not Found\r\ncontent-length: 0\r\n\r\n`,
  "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ncontent-length: 0\r\n\r\n",
  "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nconnection: close\r\n\r\nevent: error\ndata: {}\n\n",
  "nonsense\r\n\r\n",
];

/** How one attempt is answered. */
function drawScript(draw: Draw): Script {
  const writing = draw(WRITINGS);
  const disturbance = draw(["none", "none", ...Object.keys(DISTURBANCES)]);
  const size = draw([1, 2, 7, 100, Infinity]);
  const way = draw(["whole", "cut", "cut", "cut", "silent", "other"]);
  const place = draw(Array.from({ length: 100 }, (_, index) => index / 100));
  const stop = draw(Object.values(STOPS));
  const other = draw(OTHER_ANSWERS);
  return async (socket, attempt) => {
    if (way === "other") {
      socket.write(other);
      return;
    }
    const frames = DISTURBANCES[disturbance]!(
      framesOf(attempt),
      place,
      attempt,
    );
    const { bytes } = responseOf(frames, writing);
    const upTo = way === "whole"
      ? bytes.length
      : Math.floor(place * bytes.length);
    await writePieces(socket, bytes.subarray(0, upTo), size);
    if (way === "cut") {
      stop(socket);
    } else if (way === "whole" && writing.framing === "closing") {
      socket.end();
    }
  };
}

/** An engine's own refusal is passed on, where it came in place of a stream and not of its rest. */
function isPassedOn({ status, header }: CallerAnswer): boolean {
  return status === PASSED_ON && header("sassafrasstep-verdict") === "ran";
}

describe("streams at any crossing", () => {
  const fixture = new EntryFixture();

  beforeAll(async () => {
    await fixture.start({ pool: 6 });
  });
  afterAll(async () => {
    await fixture.stop();
  });

  // Engines write, disturb and stop their streams in drawn ways, up to six attempts of one answer, each
  // left wherever it is. A caller gets what one run makes, or a part that ends in sight after an event.
  it(`are one run's, seed ${SEED}`, async () => {
    const random = new SeededRandomness(SEED);
    const draw: Draw = (items) =>
      items[Math.floor(random.next() * items.length)]!;
    const bad: string[] = [];
    const seen = new Map<string, number>();
    const sockets: Socket[] = [];
    const tryOne = async (number: number): Promise<void> => {
      const scripts = Array.from({ length: 5 }, () => drawScript(draw));
      const last: Script = (socket, attempt) =>
        socket.write(responseOf(framesOf(attempt), WRITINGS[0]!).bytes);
      const stream = draw([true, true, true, false]);
      let begun = false;
      const answer = await fixture.chat((socket, attempt) => {
        sockets.push(socket);
        begun ||= attempt.startAt > 0;
        return ([...scripts, last][attempt.number - 1] ?? last)(
          socket,
          attempt,
        );
      }, {
        stream,
        headers: { "sassafrasstep-deadline-ms": `${DEADLINE_MS}` },
      });
      const verdict = isPassedOn(answer) && !begun
        ? "passed on"
        : stream
        ? judge(answer)
        : judgeHeld(answer);
      const kind = verdict.startsWith("bad") ? "bad" : verdict;
      seen.set(kind, (seen.get(kind) ?? 0) + 1);
      if (kind === "bad") {
        bad.push(`${number}: ${verdict}`);
      }
    };
    for (let number = 0; number < CASES; number += AT_ONCE) {
      await Promise.all(
        Array.from({ length: AT_ONCE }, (_, index) => tryOne(number + index)),
      );
    }
    sockets.forEach((socket) => socket.destroy());
    expect(bad).toEqual([]);
    expect(seen.get("whole")).toBeGreaterThan(0);
  });
});
