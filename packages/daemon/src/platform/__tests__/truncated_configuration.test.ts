import type { Revision } from "@sassafrasstep/core";
import { describe, expect, it } from "vitest";
import { listenRaw } from "../../gateway/__tests__/wire_fixture.ts";
import { PlatformClient } from "../platform_client.ts";

const TEXT = "[deployment]\nname = demo\n\n[region north]\nzones = north-a\n";
const HEAD = "HTTP/1.1 200 OK\r\nx-revision: 7\r\n";
const FRAMINGS: readonly [string, string][] = [
  ["with a length", `${HEAD}content-length: ${TEXT.length}\r\n\r\n${TEXT}`],
  [
    "chunked",
    `${HEAD}transfer-encoding: chunked\r\n\r\n${
      TEXT.length.toString(16)
    }\r\n${TEXT}\r\n0\r\n\r\n`,
  ],
  ["without a length", `${HEAD}connection: close\r\n\r\n${TEXT}`],
];

describe("the configuration", () => {
  // Guards against a truncated configuration that counts as complete. When a reset cut off a configuration
  // without a length, the part that had arrived was put into force and copied to peers under its revision,
  // without the sections at its end.
  it.each(FRAMINGS)(
    "is read completely or not at all, %s",
    async (_, bytes) => {
      const cuts = Array.from({ length: bytes.length }, (_, cut) => cut);
      const texts = await Promise.all(
        cuts.flatMap((cut) =>
          [0, 5].map(async (pause) => {
            const platform = await listenRaw((socket) =>
              socket.write(bytes.slice(0, cut), () =>
                pause === 0
                  ? socket.resetAndDestroy()
                  : setTimeout(() =>
                    socket.resetAndDestroy(), pause))
            );
            const url = `http://${platform.address}`;
            const client = new PlatformClient({
              configurationUrl: url,
              vmListUrl: url,
            });
            const read = await client.readConfiguration(0 as Revision, {
              wait: false,
            })
              .then((published) =>
                published?.text, () => undefined);
            client.close();
            await platform.close();
            return read;
          })
        ),
      );
      expect(texts.filter((text) => text !== undefined && text !== TEXT))
        .toEqual([]);
    },
  );
});
