import { afterAll, beforeAll, describe, expect, it } from "vitest";
import {
  ByteFleet,
  eventsOf,
  faultOf,
  PLAIN_STYLE,
  RawEngine,
  type RawRequest,
  type RunScript,
  type SeenAnswer,
} from "../index.ts";

const EVENTS = 6;
const COMMENT_STYLE = { ...PLAIN_STYLE, comments: true };
/** A comment precedes the fourth event. */
const COMMENT_BYTES = ": still there\n\n".length;
const PARTIAL_EVENT_BYTES = 9;
const CUT_AT_BYTE = eventsOf("c1", { count: 3, style: COMMENT_STYLE }).length +
  COMMENT_BYTES + PARTIAL_EVENT_BYTES;

describe("what stands between events", () => {
  const arrivals: RawRequest[] = [];
  const script = (request: RawRequest): RunScript => {
    arrivals.push(request);
    const runNumber =
      arrivals.filter(({ call }) => call === request.call).length;
    if (request.call === "n1" && runNumber === 1) {
      return { events: 0, framing: "none", stop: "closed" };
    }
    return runNumber === 1
      ? {
        events: EVENTS,
        style: COMMENT_STYLE,
        stop: "reset",
        stopAt: CUT_AT_BYTE,
      }
      : { events: EVENTS, style: COMMENT_STYLE };
  };
  const fleet = new ByteFleet({
    engines: ["i-1", "i-2"].map((id) => ({
      engine: new RawEngine(id, script),
    })),
  });

  beforeAll(() => fleet.start());
  afterAll(() => fleet.close());

  const requestStream = async (call: string): Promise<SeenAnswer> => {
    const answer = await fleet.ask(call);
    const whole = eventsOf(call, { count: EVENTS, style: COMMENT_STYLE });
    expect(faultOf(answer, { whole, style: COMMENT_STYLE })).toBe(undefined);
    return answer;
  };

  // Guards against a repeated comment: it was passed on at once, the event after it was cut off, and the next
  // endpoint, which got the last event's number, began with the same comment.
  it("comes once where a stream is resumed after a comment", async () => {
    const { end } = await requestStream("c1");
    expect(end).toBe("whole");
  });

  // Guards against an answer without any event that ends as complete: it ends with its connection, which was
  // closed gracefully before the first event.
  it("is not taken for a stream where no event came", async () => {
    const { end } = await requestStream("n1");
    expect(end).toBe("whole");
  });
});
