import { describe, expect, it } from "vitest";
import {
  type CallHead,
  type CallId,
  type CatalogueSnapshot,
  type GatewayEffect,
  instant,
  type Revision,
  type ServiceId,
} from "../../index.ts";
import { createEngine, POOL } from "./engine_fixture.ts";
import { startGateway } from "./gateway_fixture.ts";
import { HEAD, PEER, REGION, SNAPSHOT, ZONE } from "./resume_fixture.ts";

const SERVICE: ServiceId = POOL.id;
const NEWEST_ANSWERED_AT = 500;

/** Handles a request that continues a stream, by default before engines of `v1` and `v2`. */
function resume(
  fields: Partial<CallHead>,
  {
    resumable = true,
    versions = ["v1", "v2"],
    isFirstStart = false,
    newest = SNAPSHOT,
  }: {
    resumable?: boolean;
    versions?: readonly string[];
    isFirstStart?: boolean;
    /** Position that the platform states when it is asked for the newest. */
    newest?: Pick<CatalogueSnapshot, "epoch" | "revision"> | "unanswered";
  } = {},
): GatewayEffect[] {
  const gateway = startGateway({ zone: ZONE, region: REGION, isFirstStart });
  const document = SNAPSHOT.document!;
  const snapshot = {
    ...SNAPSHOT,
    document: {
      ...document,
      routes: document.routes.map((route) => ({ ...route, resumable })),
    },
    endpoints: versions.map((softwareVersion) =>
      createEngine(`e-${softwareVersion}`, { softwareVersion }).record
    ),
  };
  gateway.handle({ kind: "tick" }, instant(0));
  gateway.handle({ kind: "catalogueRead", snapshot }, instant(0));
  const head = { ...HEAD, lastEventId: "3", ...fields };
  const effects = gateway.handle({ kind: "arrived", head }, instant(10));
  // Nobody answers a lookup within this time.
  for (let time = 25; time <= 1_500; time += 25) {
    const isAsked = effects.some(({ kind }) => kind === "askNewest");
    if (isAsked && newest !== "unanswered" && time === NEWEST_ANSWERED_AT) {
      const event = { kind: "catalogueNewest", newest } as const;
      effects.push(...gateway.handle(event, instant(time)));
    }
    effects.push(...gateway.handle({ kind: "tick" }, instant(time)));
  }
  return effects;
}

function endpointOf(effects: readonly GatewayEffect[]): string | undefined {
  const [attempt] = effects.flatMap((effect) =>
    effect.kind === "send" ? [effect.attempt] : []
  );
  return attempt?.target.kind === "endpoint"
    ? attempt.target.endpoint
    : undefined;
}

function refusalOf(effects: readonly GatewayEffect[]): unknown {
  const [refusal] = effects.flatMap((effect) =>
    effect.kind === "refuse" ? [effect.refusal] : []
  );
  return refusal === undefined ? undefined : {
    reason: refusal.reason,
    status: refusal.status,
    verdict: refusal.verdict.kind,
  };
}

describe("a request that continues a stream", () => {
  const relayOf = (version: string): Partial<CallHead> => ({
    relay: {
      from: PEER,
      sentBefore: 1,
      customer: undefined,
      origin: { service: SERVICE, version },
    },
  });

  it.each(["v1", "v2"])(
    "is sent to an endpoint of the version that a peer names: %s",
    (version) => {
      expect(endpointOf(resume(relayOf(version)))).toBe(`e-${version}`);
    },
  );

  // Guards against taking a resumption for a new stream after its route has become one without resumption.
  it.each(["v1", "v2"])(
    "keeps its version on a route that no longer allows it: %s",
    (version) => {
      const effects = resume(relayOf(version), { resumable: false });
      expect(endpointOf(effects)).toBe(`e-${version}`);
    },
  );

  it.each(
    [
      ["names a version that is gone", relayOf("v0"), "version_gone", 503],
      ["names no call", {}, "stream_unknown", 503],
      [
        "names an unknown call",
        { resumedCall: { kind: "named", call: "x" as CallId } },
        "stream_unknown",
        503,
      ],
      [
        "names what no call can be named",
        { resumedCall: { kind: "malformed" } },
        "malformed_resumption",
        400,
      ],
    ] satisfies [string, Partial<CallHead>, string, number][],
  )(
    "is refused without a run if it %s",
    (_name, fields, reason, status) => {
      for (const resumable of [true, false]) {
        const effects = resume(fields, { resumable });
        expect(refusalOf(effects)).toEqual({
          reason,
          status,
          verdict: "not_run",
        });
        expect(endpointOf(effects)).toBeUndefined();
      }
    },
  );

  // Guards against streams that are refused although their service can have had one version only.
  describe.each<[string, Partial<CallHead>]>([
    ["names no call", {}],
    ["names an unknown call", {
      resumedCall: { kind: "named", call: "x" as CallId },
    }],
  ])("and %s", (_name, fields) => {
    it("goes on where the system has started with one version", () => {
      const effects = resume(fields, { versions: ["v1"], isFirstStart: true });
      expect(endpointOf(effects)).toBe("e-v1");
    });

    it.each<[string, Parameters<typeof resume>[1]]>([
      ["there are two", { isFirstStart: true }],
      ["the entry started again a moment ago", { versions: ["v1"] }],
      // Guards against a version that was published since the last read.
      ["the platform does not say that there is nothing newer", {
        versions: ["v1"],
        isFirstStart: true,
        newest: "unanswered",
      }],
      ["there is something newer that is not read", {
        versions: ["v1"],
        isFirstStart: true,
        newest: { ...SNAPSHOT, revision: SNAPSHOT.revision + 1 as Revision },
      }],
    ])("is refused where %s", (_reason, options) => {
      expect(refusalOf(resume(fields, options))).toMatchObject({
        reason: "stream_unknown",
      });
    });
  });
});
