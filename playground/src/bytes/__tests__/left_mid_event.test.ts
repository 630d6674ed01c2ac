import { afterAll, beforeAll, describe, expect, it } from "vitest";
import {
  ByteFleet,
  eventsOf,
  type EventStyle,
  faultOf,
  type Line,
  PLAIN_STYLE,
  RawEngine,
  type RawRequest,
  type RunScript,
  type SeenAnswer,
  type StreamQuestion,
} from "../index.ts";

const EVENTS = 6;
/** Two events and the first bytes of the third. */
const TORN_BYTES = 9;
const TORN_AT = eventsOf("c1", { count: 2 }).length + TORN_BYTES;

const wholeOf = (call: string, style: EventStyle): string =>
  eventsOf(call, { count: EVENTS, style });

type Script = (request: RawRequest) => RunScript;

const good: Script = () => ({ events: EVENTS });
const silent: Script = ({ after }) => ({
  events: EVENTS,
  stop: "silent",
  stopAt: after === 0 ? TORN_AT : TORN_BYTES,
});

describe("a stream", () => {
  /** What the first run of a call does, the second and so on, wherever they come. */
  const plans = new Map<string, readonly Script[]>();
  const runsOf = (call: string): RawRequest[] =>
    engines.flatMap(({ runs }) => runs).filter((run) => run.call === call);
  const script: Script = (request) => {
    const plan = plans.get(request.call)!;
    const asked = (seen.get(request.call) ?? 0) + 1;
    seen.set(request.call, asked);
    return plan[Math.min(asked, plan.length) - 1]!(request);
  };
  const seen = new Map<string, number>();
  const engines = ["i-1", "i-2", "i-3", "i-4"].map((id) =>
    new RawEngine(id, script)
  );
  const fleet = new ByteFleet({
    engines: engines.map((engine) => ({ engine })),
  });

  beforeAll(() => fleet.start());
  afterAll(() => fleet.close());

  const ask = async (
    call: string,
    plan: readonly Script[],
    question: Partial<StreamQuestion> = {},
    style: EventStyle = PLAIN_STYLE,
  ): Promise<SeenAnswer> => {
    plans.set(call, plan);
    const answer = await fleet.ask(call, question);
    expect(faultOf(answer, { whole: wholeOf(call, style), style })).toBe(
      undefined,
    );
    return answer;
  };
  const wentOn = (call: string): readonly Line[] =>
    fleet.entries[0]!.lines("call: Stream goes on elsewhere.").filter((
      { fields },
    ) => fields.call === call);

  // Callers got an event that no endpoint made: "id: 3\ndatid: 3\ndata: ...". The entry had given up an
  // endpoint inside its third event, by its own choice: it had fallen silent, or told another life. The
  // buffer that cuts a stream at its events belonged to the request and was emptied only where an attempt
  // ended by itself, so its nine bytes stood before the first event of the next endpoint. Before the mend
  // the line said droppedBytes 9 and the caller got them all the same, after two such endpoints the bytes
  // of both.
  describe("whose endpoint is left in the middle of an event", () => {
    it("goes on with whole events after silence", async () => {
      const { end } = await ask("c1", [silent, good]);
      expect(end).toBe("whole");
      expect(wentOn("c1")).toMatchObject([{
        fields: {
          afterEvent: "2",
          leftFor: "Silent",
          droppedBytes: TORN_BYTES,
        },
      }]);
    });

    it("goes on with whole events after silence twice", async () => {
      const { end } = await ask("c2", [silent, silent, good]);
      expect(end).toBe("whole");
    });

    it("goes on with whole events after silence and a failure", async () => {
      const failing: Script = () => ({ events: EVENTS, status: 500 });
      const { end } = await ask("c3", [silent, failing, good]);
      expect(end).toBe("whole");
    });

    it("goes on with whole events where the endpoint started again", async () => {
      const onBytes = (): void => {
        const [run] = runsOf("c4");
        const { engine, address } = fleet.engines.find(({ engine }) =>
          engine.runs.includes(run!)
        )!;
        fleet.publish(engine.id, { address, sequence: 2, born: 2 });
      };
      const { end } = await ask("c4", [silent, good], { onBytes });
      expect(end).toBe("whole");
      expect(wentOn("c4")).toMatchObject([{
        fields: {
          leftFor: "Endpoint started again",
          droppedBytes: TORN_BYTES,
        },
      }]);
    });
  });

  // A stream was ended as complete inside its third event, "told whole after 83 of 222 bytes": the framing
  // of the endpoint's answer had ended there in order, and what stood in the buffer was passed on as the end
  // of the answer. Only where an answer ends with its connection was an unfinished event looked for.
  describe("whose framing ends in order inside an event", () => {
    const ended: Script = () => ({
      events: EVENTS,
      stop: "ended",
      stopAt: TORN_AT,
    });

    it("goes on elsewhere", async () => {
      const { end } = await ask("e1", [ended, good]);
      expect(end).toBe("whole");
    });

    it("goes on elsewhere where the answer ends with its connection", async () => {
      const unframed: Script = () => ({
        ...ended({} as never),
        framing: "none",
      });
      const { end } = await ask("e2", [unframed, good]);
      expect(end).toBe("whole");
    });

    it("is broken off visibly where its route allows no other endpoint", async () => {
      const { end } = await ask("e3", [ended, good], { path: "/once/x" });
      expect(end).toBe("broken");
    });
  });

  // An endpoint whose events say no number fell silent after two of them. Nobody can tell another endpoint
  // where to go on; the entry sent it the request all the same, and its caller got both events again.
  describe("whose events say no number", () => {
    const style = { ...PLAIN_STYLE, ids: false };
    const script = (count: number): Script => () => ({
      events: EVENTS,
      style,
      stop: "silent",
      stopAt: eventsOf("n1", { count, style }).length,
    });

    it("is broken off where its endpoint falls silent", async () => {
      const { end } = await ask(
        "n1",
        [script(2), good],
        { time: 3_000 },
        style,
      );
      expect(end).toBe("broken");
      expect(runsOf("n1")).toHaveLength(1);
    });

    it("goes on elsewhere where none of them has come", async () => {
      const { end } = await ask("n2", [script(0), good]);
      expect(end).toBe("whole");
    });

    it("goes on elsewhere where its endpoint breaks off before them", async () => {
      const broken: Script = () => ({
        events: EVENTS,
        stop: "reset",
        stopAt: 0,
      });
      const { end } = await ask("n3", [broken, good]);
      expect(end).toBe("whole");
    });
  });
});
