/**
 * Connects the origins of streams to this entry's view of the fleet.
 *
 * @module
 */
import type { EntryRecord, FleetController } from "../fleet/index.ts";
import type { Instant, Randomness, RegionId } from "../ids/index.ts";
import {
  type ReplicaCandidates,
  StreamOrigins,
} from "../stream_origins/index.ts";
import type { GatewayIdentity } from "./messages.ts";
import { minimumServingOf } from "./serving_set.ts";

/** Creates the origins of streams of an entry. */
export function createStreamOrigins(
  { self, fleet, random }: {
    self: GatewayIdentity;
    fleet: FleetController;
    random: Randomness;
  },
  now: Instant,
): StreamOrigins {
  return new StreamOrigins({
    fleet,
    random,
    candidates: () => fleet.derive(replicaCandidates, self.region),
    send: (to, message) =>
      fleet.sender.sendWithoutRecord(to, { kind: "origins", message }),
  }, now);
}

/** Live entries that serve at any load: standby entries would be woken by each record. */
function replicaCandidates(
  region: RegionId,
  fleet: FleetController,
): ReplicaCandidates {
  const live = new Set(
    fleet.liveMembers().filter(({ record }) =>
      record.state === "ready" || record.state === "outdated"
    ).map(({ record }) => record.incarnation),
  );
  const regions = new Set(
    fleet.liveMembers().map(({ record }) => record.region),
  );
  const candidatesIn = (of: RegionId): EntryRecord[] =>
    minimumServingOf(of, fleet).filter(({ incarnation }) =>
      live.has(incarnation)
    );
  regions.delete(region);
  return {
    near: candidatesIn(region),
    far: [...regions].flatMap(candidatesIn),
  };
}
