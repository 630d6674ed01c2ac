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
const STYLE = { ...PLAIN_STYLE, comments: true };
/** The fourth event stands behind a comment. */
const COMMENT_BYTES = ": still there\n\n".length;
const TORN_BYTES = 9;
const TORN_AT = eventsOf("c1", { count: 3, style: STYLE }).length +
  COMMENT_BYTES + TORN_BYTES;

describe("what stands between events", () => {
  const arrivals: RawRequest[] = [];
  const script = (request: RawRequest): RunScript => {
    arrivals.push(request);
    const first = arrivals.filter(({ call }) => call === request.call).length;
    if (request.call === "n1" && first === 1) {
      return { events: 0, framing: "none", stop: "closed" };
    }
    return first === 1
      ? { events: EVENTS, style: STYLE, stop: "reset", stopAt: TORN_AT }
      : { events: EVENTS, style: STYLE };
  };
  const fleet = new ByteFleet({
    engines: ["i-1", "i-2"].map((id) => ({
      engine: new RawEngine(id, script),
    })),
  });

  beforeAll(() => fleet.start());
  afterAll(() => fleet.close());

  const ask = async (call: string): Promise<SeenAnswer> => {
    const answer = await fleet.ask(call);
    const whole = eventsOf(call, { count: EVENTS, style: STYLE });
    expect(faultOf(answer, { whole, style: STYLE })).toBe(undefined);
    return answer;
  };

  // A comment came twice: it had gone to the caller at once, the event behind it was torn, and the next
  // endpoint, told the last event's number, began with the same comment.
  it("comes once where a stream goes on behind a comment", async () => {
    const { end } = await ask("c1");
    expect(end).toBe("whole");
  });

  // An answer without a single event was told whole: its connection, which alone tells its end, had been
  // closed in order before the first event.
  it("is not taken for a stream where no event came", async () => {
    const { end } = await ask("n1");
    expect(end).toBe("whole");
  });
});
