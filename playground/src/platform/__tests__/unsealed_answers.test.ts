import { HEADERS } from "@sassafrasstep/platform";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import {
  callPlatform,
  PlatformFleet,
  StandInEndpoint,
  THREE_ENDPOINTS_PER_SERVICE,
} from "../index.ts";

const REQUESTS = 40;
const STREAM_TOKENS = "100,20";

// Guards against callers that take the answer of another program at an endpoint's address for that of the endpoint.
describe("a success that bears no seal", () => {
  const fleet = new PlatformFleet({ endpoints: THREE_ENDPOINTS_PER_SERVICE });

  beforeAll(async () => {
    await fleet.prepare();
    await fleet.start(2);
    fleet.endpoint("i-p1").fault = "unsealed";
    fleet.endpoint("i-e1").fault = "unsealed";
  });
  afterAll(() => fleet.close());

  it.each([
    ["once", undefined, [200, 502]],
    ["again", undefined, [200]],
    ["stream", STREAM_TOKENS, [200, 502]],
    ["resume", STREAM_TOKENS, [200]],
  ])("reaches no caller of the route %s", async (name, tokens, statuses) => {
    const answers = await Promise.all(
      Array.from({ length: REQUESTS }, (_, index) => {
        const { callers } = fleet.entries[index % 2]!;
        return callPlatform(callers, {
          path: `/${name}/x`,
          call: `${name}-${index}`,
          ...(tokens === undefined ? {} : { tokens }),
        });
      }),
    );
    const unsealed = answers.filter(({ status, headers }) =>
      status < 300 && headers[HEADERS.seal] === undefined
    );
    expect(unsealed).toEqual([]);
    for (const { status, headers, body } of answers) {
      expect(statuses).toContain(status);
      if (status === 200 && tokens === undefined) {
        const call = String(headers[HEADERS.callId]);
        expect(body).toBe(StandInEndpoint.responseBody(call));
      }
    }
  });

  it("keeps its endpoint from getting most requests", () => {
    const { length: foreign } = fleet.endpoint("i-p1").requests;
    const { length: sound } = fleet.endpoint("i-p2").requests;
    expect(foreign).toBeGreaterThan(0);
    expect(foreign).toBeLessThan(sound);
  });
});
