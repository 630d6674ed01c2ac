/**
 * Connects the quarantine to the catalogue, the fleet and the serving set.
 *
 * @module
 */
import type { EntryRecord, FleetController } from "../fleet/index.ts";
import {
  type Instant,
  milliseconds,
  type Randomness,
  sample,
} from "../ids/index.ts";
import {
  QuarantineController,
  type UpdateRecipients,
} from "../quarantine/index.ts";
import type { StallAdjustedClockView } from "../listening/index.ts";
import type { CatalogueView } from "./catalogue_view.ts";
import type { EndpointRegistry } from "./endpoint_registry.ts";
import type { GatewayEmit, GatewayIdentity } from "./messages.ts";
import type { ServingSet } from "./serving_set.ts";

/**
 * Number of peers to which an entry passes on updates about a quarantined request. Each of them does the same,
 * so that all peers have it after a few hops and none sends more than this. Peers that are missed learn of it
 * from the next pings.
 */
const NEWS_FANOUT = 5;
/** Twice the latency between two distant regions, plus a tick. */
const CLAIM_TIME_MS = 200;
/** In a fleet of up to this size all peers are told directly. */
const SMALL_FLEET_SIZE = 16;

/** Dependencies of the quarantine. */
export interface QuarantineDependencies {
  readonly self: Pick<GatewayIdentity, "incarnation" | "regionByZone">;
  readonly emit: GatewayEmit;
  readonly random: Randomness;
  readonly catalogue: CatalogueView;
  readonly endpoints: EndpointRegistry;
  readonly fleet: FleetController;
  readonly serving: ServingSet;
  readonly clock: StallAdjustedClockView;
  readonly now: () => Instant;
}

/** Creates the quarantine of an entry. */
export function createQuarantine(
  dependencies: QuarantineDependencies,
): QuarantineController {
  const { self, emit, catalogue, endpoints, fleet, serving, clock, now } =
    dependencies;
  return new QuarantineController({
    self,
    clock,
    claimDelay: milliseconds(CLAIM_TIME_MS),
    send: (news, to) =>
      fleet.sender.sendQuarantine(news, selectRecipients(dependencies, to)),
    noteOnTrial: (id) => endpoints.get(id)?.noteTrial(now()),
    peerCount: () => fleet.liveMembers().length,
    probePort: ({ id, life, address }) =>
      emit({ kind: "knock", endpoint: id, life, address }),
    endpoints: () => catalogue.endpoints,
    servingEntries: (zones, mayServe) => {
      const regions = new Set(
        [...zones].map((zone) => self.regionByZone.get(zone)),
      );
      return [...regions].flatMap((region) =>
        region !== undefined && mayServe(region)
          ? serving.of(region, now())
          : []
      ).map(({ incarnation }) => incarnation);
    },
    log: (part, text, fields) => emit({ kind: "log", part, text, fields }),
  });
}

/** Returns a filter of the peers that receive updates. */
function selectRecipients(
  { fleet, random, serving, now }: QuarantineDependencies,
  to: UpdateRecipients,
): (record: EntryRecord) => boolean {
  if (to === "carriers") {
    const at = now();
    return (record) => serving.has(record, at);
  }
  const live = fleet.liveMembers().map(({ record }) => record);
  const selected = live.length <= SMALL_FLEET_SIZE
    ? live
    : sample(live, NEWS_FANOUT, random);
  const selectedIncarnations = new Set(
    selected.map(({ incarnation }) => incarnation),
  );
  return ({ incarnation }) => selectedIncarnations.has(incarnation);
}
