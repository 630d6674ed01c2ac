/**
 * Runs the daemon's real control server with a core that answers heartbeats.
 *
 * @module
 */
import type { AddressInfo } from "node:net";
import {
  Core,
  type EntryId,
  type Heartbeat,
  type HeartbeatReply,
  type Incarnation,
  instant,
  milliseconds,
  type RegionId,
  SeededRandomness,
  type ZoneId,
} from "@sassafrasstep/core";
import {
  type ControlService,
  createControlServer,
  Credentials,
} from "@sassafrasstep/daemon";

/** A running control server that receives heartbeats. */
export interface PeerSink {
  readonly url: string;
  readonly secret: string;
  stop(): Promise<void>;
}

const SINK_SECRET = "secret-of-the-slopes";

/** Starts a control server on a free port of the loopback interface. */
export async function startPeerSink(): Promise<PeerSink> {
  const core = new Core({
    self: {
      id: "sink" as EntryId,
      incarnation: "fedcba9876543210" as Incarnation,
      zone: "z1" as ZoneId,
      region: "r1" as RegionId,
      url: "http://10.1.0.1:7000",
      controlUrl: "http://10.1.0.1:7001",
      deployment: "made",
      seeds: [],
      heartbeatPeriod: milliseconds(1_000),
      epochLength: milliseconds(300_000),
    },
    random: new SeededRandomness(1),
  }, instant(performance.now()));
  const service = {
    deployment: "made",
    heartbeat: (heartbeat: Heartbeat): HeartbeatReply =>
      core.answerHeartbeat(heartbeat, instant(performance.now())),
  } as unknown as ControlService;
  const server = createControlServer(
    service,
    new Credentials(SINK_SECRET, "made"),
  );
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  return {
    url: `http://127.0.0.1:${port}`,
    secret: SINK_SECRET,
    stop: async () => {
      await new Promise<void>((resolve) => {
        server.close(() => resolve());
        server.closeAllConnections();
      });
    },
  };
}
