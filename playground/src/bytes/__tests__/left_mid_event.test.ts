import { afterAll, beforeAll, describe, expect, it } from "vitest";
import {
  ByteFleet,
  eventsOf,
  type EventStyle,
  faultOf,
  type LogLine,
  PLAIN_STYLE,
  RawEngine,
  type RawRequest,
  type RunScript,
  type SeenAnswer,
  type StreamRequest,
} from "../index.ts";

const EVENTS = 6;
const PARTIAL_EVENT_BYTES = 9;
/** After two events and the first bytes of the third. */
const CUT_AT_BYTE = eventsOf("c1", { count: 2 }).length + PARTIAL_EVENT_BYTES;

const fullBody = (call: string, style: EventStyle): string =>
  eventsOf(call, { count: EVENTS, style });

type Script = (request: RawRequest) => RunScript;

const complete: Script = () => ({ events: EVENTS });
const silent: Script = ({ after }) => ({
  events: EVENTS,
  stop: "silent",
  stopAt: after === 0 ? CUT_AT_BYTE : PARTIAL_EVENT_BYTES,
});

describe("a stream", () => {
  /** By call id: the scripts of its first, second and later runs, at whichever engine. */
  const scriptsByCall = new Map<string, readonly Script[]>();
  const runsOf = (call: string): RawRequest[] =>
    engines.flatMap(({ runs }) => runs).filter((run) => run.call === call);
  const script: Script = (request) => {
    const scripts = scriptsByCall.get(request.call)!;
    const runNumber = (runCounts.get(request.call) ?? 0) + 1;
    runCounts.set(request.call, runNumber);
    return scripts[Math.min(runNumber, scripts.length) - 1]!(request);
  };
  const runCounts = new Map<string, number>();
  const engines = ["i-1", "i-2", "i-3", "i-4"].map((id) =>
    new RawEngine(id, script)
  );
  const fleet = new ByteFleet({
    engines: engines.map((engine) => ({ engine })),
  });

  beforeAll(() => fleet.start());
  afterAll(() => fleet.close());

  const requestStream = async (
    call: string,
    scripts: readonly Script[],
    options: Partial<StreamRequest> = {},
    style: EventStyle = PLAIN_STYLE,
  ): Promise<SeenAnswer> => {
    scriptsByCall.set(call, scripts);
    const answer = await fleet.ask(call, options);
    expect(faultOf(answer, { whole: fullBody(call, style), style })).toBe(
      undefined,
    );
    return answer;
  };
  const resumeLines = (call: string): readonly LogLine[] =>
    fleet.entries[0]!.lines("call: Stream goes on elsewhere.").filter((
      { fields },
    ) => fields.call === call);

  // Guards against events that no endpoint produced, such as "id: 3\ndatid: 3\ndata: ...". The entry abandoned
  // an endpoint inside its third event because it was silent or had restarted. The buffer for partial events
  // belonged to the request and was cleared only when an attempt ended by itself, so its nine bytes preceded the
  // first event of the next endpoint, although the log reported droppedBytes 9. After two such endpoints the
  // caller got the partial events of both.
  describe("whose endpoint is abandoned in the middle of an event", () => {
    it("continues with whole events after silence", async () => {
      const { end } = await requestStream("c1", [silent, complete]);
      expect(end).toBe("whole");
      expect(resumeLines("c1")).toMatchObject([{
        fields: {
          afterEvent: "2",
          leftFor: "Silent",
          droppedBytes: PARTIAL_EVENT_BYTES,
        },
      }]);
    });

    it("continues with whole events after silence at two endpoints", async () => {
      const { end } = await requestStream("c2", [silent, silent, complete]);
      expect(end).toBe("whole");
    });

    it("continues with whole events after silence and a failure", async () => {
      const failing: Script = () => ({ events: EVENTS, status: 500 });
      const { end } = await requestStream("c3", [silent, failing, complete]);
      expect(end).toBe("whole");
    });

    it("continues with whole events where the endpoint restarted", async () => {
      const onBytes = (): void => {
        const [run] = runsOf("c4");
        const { engine, address } = fleet.engines.find(({ engine }) =>
          engine.runs.includes(run!)
        )!;
        fleet.publish(engine.id, { address, sequence: 2, born: 2 });
      };
      const { end } = await requestStream("c4", [silent, complete], {
        onBytes,
      });
      expect(end).toBe("whole");
      expect(resumeLines("c4")).toMatchObject([{
        fields: {
          leftFor: "Endpoint started again",
          droppedBytes: PARTIAL_EVENT_BYTES,
        },
      }]);
    });
  });

  // Guards against a stream that ends as complete inside an event, as after 83 of 222 bytes: the framing of the
  // endpoint's answer ended there properly, and the buffered part was passed on as the end of the answer. The
  // check for an unfinished event covered only answers that end with their connection.
  describe("whose framing ends properly inside an event", () => {
    const ended: Script = () => ({
      events: EVENTS,
      stop: "ended",
      stopAt: CUT_AT_BYTE,
    });

    it("continues at another endpoint", async () => {
      const { end } = await requestStream("e1", [ended, complete]);
      expect(end).toBe("whole");
    });

    it("continues at another endpoint where the answer ends with its connection", async () => {
      const unframed: Script = () => ({
        ...ended({} as never),
        framing: "none",
      });
      const { end } = await requestStream("e2", [unframed, complete]);
      expect(end).toBe("whole");
    });

    it("is broken off visibly where its route allows no other endpoint", async () => {
      const { end } = await requestStream("e3", [ended, complete], {
        path: "/once/x",
      });
      expect(end).toBe("broken");
    });
  });

  // Guards against resuming a stream whose events have no ids. After two events its endpoint was silent, and no
  // other endpoint can know where to continue. The entry sent the request anyway, and the caller got both events
  // again.
  describe("whose events have no ids", () => {
    const style = { ...PLAIN_STYLE, ids: false };
    const silentAfter = (count: number): Script => () => ({
      events: EVENTS,
      style,
      stop: "silent",
      stopAt: eventsOf("n1", { count, style }).length,
    });

    it("is broken off where its endpoint becomes silent", async () => {
      const { end } = await requestStream(
        "n1",
        [silentAfter(2), complete],
        { time: 3_000 },
        style,
      );
      expect(end).toBe("broken");
      expect(runsOf("n1")).toHaveLength(1);
    });

    it("continues at another endpoint where no event has come", async () => {
      const { end } = await requestStream("n2", [silentAfter(0), complete]);
      expect(end).toBe("whole");
    });

    it("continues at another endpoint where the first breaks off before any event", async () => {
      const broken: Script = () => ({
        events: EVENTS,
        stop: "reset",
        stopAt: 0,
      });
      const { end } = await requestStream("n3", [broken, complete]);
      expect(end).toBe("whole");
    });
  });
});
