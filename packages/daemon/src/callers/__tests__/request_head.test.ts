import type { IncomingMessage } from "node:http";
import type { RequestId } from "@sassafrasstep/core";
import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { Credentials, PEER_HEADER } from "../../peers/index.ts";
import { readCallerRequest } from "../request_head.ts";

const credentials = new Credentials("secret-of-the-test-0", "demo");

function read(
  url: string,
  headers: Record<string, string> = {},
): ReturnType<typeof readCallerRequest> {
  const message = {
    url,
    method: "POST",
    headers,
  } as unknown as IncomingMessage;
  return readCallerRequest(message, {
    credentials,
    defaultService: "pool",
    newId: () => "own" as RequestId,
  });
}

describe("request heads", () => {
  describe("paths", () => {
    const cases: [string, string, string | undefined][] = [
      ["/v1/chat/completions", "pool", "/v1/generate"],
      ["/v1/models/other/chat/completions", "other", "/v1/generate"],
      ["/v1/services/check-in/badges?x=1", "check-in", "/badges?x=1"],
      ["/v1/services/check-in", "check-in", "/"],
      ["/v1/services/check-in/../../../etc", "", undefined],
      ["/v1/services/check-in/%2e%2e/other/x", "other", "/x"],
      ["/elsewhere", "", undefined],
      ["//", "", undefined],
      ["//host/v1/chat/completions", "", undefined],
      ["*", "", undefined],
    ];

    it.each(cases)("reads %s", (path, service, endpointPath) => {
      const request = read(path);
      expect(request?.endpointPath).toBe(endpointPath);
      expect(request?.head.service ?? "").toBe(service);
    });
  });

  describe("headers set by peers", () => {
    const peerHeaders = {
      "sassafrasstep-request": "r9",
      "sassafrasstep-offset": "7",
    };

    it("are accepted with a valid proof", () => {
      const { head } = read("/v1/chat/completions", {
        ...peerHeaders,
        [PEER_HEADER]: credentials.createProof(),
      })!;
      expect(head).toMatchObject({
        id: "r9",
        forwarded: true,
        resumeOffset: 7,
      });
    });

    it.each([undefined, "", "x", `${"0".repeat(24)}.${"0".repeat(64)}`])(
      "are ignored with the proof %j",
      (proof) => {
        const { head } = read("/v1/chat/completions", {
          ...peerHeaders,
          ...(proof === undefined ? {} : { [PEER_HEADER]: proof }),
        })!;
        expect(head).toMatchObject({
          id: "own",
          forwarded: false,
          resumeOffset: 0,
        });
      },
    );
  });

  describe("unexpected values", () => {
    it.each([["5", 5], ["abc", NaN], ["-1", -1]])(
      "passes the deadline %j through to admission",
      (text, expected) => {
        expect(
          read("/v1/chat/completions", { "sassafrasstep-deadline-ms": text })
            ?.head.deadline,
        ).toBe(expected);
      },
    );

    it("never throws, and limits the number of hops", () => {
      const header = fc.string({ maxLength: 5_000 });
      fc.assert(
        fc.property(fc.webPath(), header, header, (path, hop, event) => {
          const request = read(path === "" ? "/" : path, {
            "sassafrasstep-hop": hop,
            "last-event-id": event,
            authorization: event,
          });
          expect(request?.head.hops.length ?? 0).toBeLessThanOrEqual(8);
        }),
      );
    });
  });
});
