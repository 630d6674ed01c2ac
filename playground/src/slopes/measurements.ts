/**
 * The measurements. Each does the same work at three or more sizes.
 *
 * @module
 */
import {
  createTextPatch,
  instant,
  parseConfiguration,
  type RequestId,
  type ServiceRevision,
  sha256,
  TokenStream,
} from "@sassafrasstep/core";
import {
  Credentials,
  encodeHeartbeat,
  PeerClients,
  sendHeartbeat,
} from "@sassafrasstep/daemon";
import { Relay } from "../fleet/index.ts";
import { median, type Point } from "./fit.ts";
import {
  driveRequest,
  listEndpoints,
  makeCore,
  START_MS,
} from "./measured_core.ts";
import {
  BYTES_PER_KIB,
  measureHeap,
  medianCpuUs,
  REPEATS,
  type SlopeMeasurement,
} from "./meter.ts";
import {
  type FleetSize,
  makeConfigurationText,
  makeHeartbeat,
  TARGET_FLEET_SIZE,
} from "./made_fleet.ts";
import { startPeerSink } from "./peer_sink.ts";

const US_PER_MS = 1_000;

/** Runs all measurements in sequence. */
export async function measureAll(): Promise<SlopeMeasurement[]> {
  return [
    await heartbeatBytes(),
    await heartbeatCpu(),
    parseCpu(),
    patchBytes(),
    tickCpu(),
    endpointMemory(),
    customerMemory(),
    keyMemory(),
    requestCpu(),
    tokenCpu(),
  ];
}

/** Bytes of one heartbeat and its answer on the wire, including HTTP, by the number of freshness entries. */
async function heartbeatBytes(): Promise<SlopeMeasurement> {
  const points: Point[] = [];
  for (const freshness of [0, 8, 16, 22]) {
    const value = await measureHeartbeatBytes(freshness);
    points.push({ size: freshness, value });
  }
  return {
    name: "heartbeat and its answer",
    per: "freshness entry",
    unit: "bytes",
    points,
  };
}

async function measureHeartbeatBytes(freshness: number): Promise<number> {
  const count = 200;
  const sink = await startPeerSink();
  const relay = new Relay(sink.url);
  const url = await relay.start();
  const clients = new PeerClients(new Credentials(sink.secret, "made"));
  const heartbeat = {
    ...makeHeartbeat(TARGET_FLEET_SIZE, freshness),
    news: [],
  };
  await sendHeartbeat(clients.at(url), heartbeat);
  const before = relay.bytes;
  for (let index = 0; index < count; index++) {
    await sendHeartbeat(clients.at(url), heartbeat);
  }
  const value = (relay.bytes - before) / count;
  await clients.close();
  await relay.stop();
  await sink.stop();
  return value;
}

/** CPU time of one heartbeat on both sides, including HTTP and validation, by the number of services reported. */
async function heartbeatCpu(): Promise<SlopeMeasurement> {
  const points: Point[] = [];
  for (const models of [1, 10, 25]) {
    const values: number[] = [];
    for (let repeat = 0; repeat < REPEATS; repeat++) {
      values.push(await measureHeartbeatCpu({ ...TARGET_FLEET_SIZE, models }));
    }
    points.push({ size: models, value: median(values) });
  }
  return {
    name: "heartbeat, sender and receiver",
    per: "service told of",
    unit: "us CPU",
    points,
  };
}

async function measureHeartbeatCpu(size: FleetSize): Promise<number> {
  const count = 400;
  const sink = await startPeerSink();
  const clients = new PeerClients(new Credentials(sink.secret, "made"));
  const heartbeat = makeHeartbeat(size, 22);
  for (let index = 0; index < count / 4; index++) {
    await sendHeartbeat(clients.at(sink.url), heartbeat);
  }
  const cpu = process.cpuUsage();
  for (let index = 0; index < count; index++) {
    await sendHeartbeat(clients.at(sink.url), heartbeat);
  }
  const used = process.cpuUsage(cpu);
  await clients.close();
  await sink.stop();
  return (used.user + used.system) / count;
}

/** Returns the bytes that one zone's news of the given number of services adds to a heartbeat. */
export function newsBytes(models: number): number {
  const bytes = (size: FleetSize): number =>
    JSON.stringify(encodeHeartbeat(makeHeartbeat(size, 0))).length;
  return bytes({ ...TARGET_FLEET_SIZE, models }) -
    bytes({ ...TARGET_FLEET_SIZE, models: 0 });
}

/** CPU time to parse and validate a configuration text, by its length. */
function parseCpu(): SlopeMeasurement {
  const points = [65, 325, 650, 1300].map((customers): Point => {
    const text = makeConfigurationText({ ...TARGET_FLEET_SIZE, customers });
    return {
      size: text.length / BYTES_PER_KIB,
      value: medianCpuUs(20, () => parseConfiguration(text)) / US_PER_MS,
    };
  });
  return {
    name: "text read and checked",
    per: "KB of text",
    unit: "ms CPU",
    points,
  };
}

/** Bytes of a patch, by the number of changed customers; the changes are spread over the text. */
function patchBytes(): SlopeMeasurement {
  const text = makeConfigurationText(TARGET_FLEET_SIZE);
  const points = [1, 4, 16].map((changes): Point => {
    const lines = text.split("\n");
    const rates = lines.flatMap((line, index) =>
      line.startsWith("requests_per_s") ? [index] : []
    );
    for (let change = 0; change < changes; change++) {
      lines[rates[Math.floor((change * rates.length) / changes)]!] =
        "requests_per_s = 90";
    }
    return {
      size: changes,
      value: JSON.stringify(createTextPatch(text, lines.join("\n"))).length,
    };
  });
  return {
    name: "difference sent to a peer",
    per: "changed customer",
    unit: "bytes",
    points,
  };
}

/** CPU time of one tick, by the number of endpoints in the region. */
function tickCpu(): SlopeMeasurement {
  const points = [50, 200, 545, 1_000].map((endpoints): Point => {
    const core = makeCore();
    listEndpoints(core, endpoints);
    let now = START_MS;
    const value = medianCpuUs(2_000, () => {
      now += 25;
      core.handle({ kind: "tick" }, instant(now));
    });
    return { size: endpoints, value };
  });
  return {
    name: "tick",
    per: "endpoint of the region",
    unit: "us CPU",
    points,
  };
}

/** Heap used by endpoints. */
function endpointMemory(): SlopeMeasurement {
  return measureHeap(
    "endpoint",
    "endpoint of the region",
    [100, 545, 2_000],
    (count) => {
      const core = makeCore();
      listEndpoints(core, count);
      return core;
    },
  );
}

/** Heap used by a configuration text and its customers. */
function customerMemory(): SlopeMeasurement {
  return measureHeap("customer", "customer", [65, 650, 2_000], (customers) => {
    const core = makeCore();
    core.handle(
      {
        kind: "configurationRead",
        revision: 2 as ServiceRevision,
        text: makeConfigurationText({ ...TARGET_FLEET_SIZE, customers }),
      },
      instant(START_MS),
    );
    return core;
  });
}

/** Heap used by idempotency keys, each with a stored answer whose body is padded to 272 characters. */
function keyMemory(): SlopeMeasurement {
  return measureHeap("used key", "key", [1_000, 5_000, 15_000], (keys) => {
    const core = makeCore();
    for (let index = 0; index < keys; index++) {
      const copy = {
        customer: "customer-0",
        home: "r0",
        key: `entry-z0-0.0123456789ab0000.3.${
          index.toString(36).padStart(16, "0")
        }`,
        bodyDigest: sha256(String(index)),
        outcome: {
          kind: "ran",
          answer: {
            status: 200,
            contentType: "application/json",
            body: `${index}`.padEnd(272, "x"),
          },
        },
      };
      core.handle(
        { kind: "outcomeCopy", copy: copy as never },
        instant(START_MS),
      );
    }
    return core;
  });
}

/** CPU time of the core's decisions on one streamed request, by the number of endpoints in the region. */
function requestCpu(): SlopeMeasurement {
  const points = [24, 200, 545].map((endpoints): Point => {
    const core = makeCore();
    listEndpoints(core, endpoints);
    core.handle({ kind: "tick" }, instant(START_MS));
    let count = 0;
    const value = medianCpuUs(2_000, () => {
      count++;
      driveRequest(core, {
        id: `r${count}` as RequestId,
        now: START_MS + count,
      });
    });
    return { size: endpoints, value };
  });
  return {
    name: "request in the core",
    per: "endpoint of the region",
    unit: "us CPU",
    points,
  };
}

/** CPU time to put streamed tokens in order, by their number. */
function tokenCpu(): SlopeMeasurement {
  const points = [100, 1_000, 10_000].map((tokens): Point => {
    const value = medianCpuUs(50, () => {
      const stream = new TokenStream().begin("r.1");
      for (let offset = 0; offset < tokens; offset++) {
        stream.accept({ id: "r.1", offset, token: " word" });
      }
    });
    return { size: tokens, value };
  });
  return { name: "tokens put in order", per: "token", unit: "us CPU", points };
}
