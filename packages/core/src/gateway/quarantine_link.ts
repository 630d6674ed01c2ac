/**
 * The quarantine's view of the entry: published endpoints, who is alive, whom to tell.
 *
 * @module
 */
import type { FleetController, FleetRecord } from "../fleet/index.ts";
import {
  type Instant,
  milliseconds,
  type Randomness,
  sample,
} from "../ids/index.ts";
import {
  type NewsRecipients,
  QuarantineController,
} from "../quarantine/index.ts";
import type { ListenedTimeView } from "../listening/index.ts";
import type { CatalogueView } from "./catalogue_view.ts";
import type { GatewayEmit, GatewaySelf } from "./messages.ts";
import type { ServingSet } from "./serving_set.ts";

/**
 * Entries that are told of a hold by one that learns of it. Each passes it on to as many, so that all have
 * it after a few hops and none sends more than these; whom that misses learns from the next pings.
 */
const FANOUT = 5;
/** Twice the way between two regions that lie far apart, and a tick. */
const CLAIM_MS = 200;
/** In a fleet of so many all are told at once. */
const SMALL_FLEET = 16;

/** What the link is made of. */
export interface QuarantineLinkSources {
  readonly self: Pick<GatewaySelf, "incarnation" | "regionByZone">;
  readonly emit: GatewayEmit;
  readonly random: Randomness;
  readonly catalogue: CatalogueView;
  readonly fleet: FleetController;
  readonly serving: ServingSet;
  readonly listened: ListenedTimeView;
  readonly now: () => Instant;
}

/** Makes the quarantine of an entry. */
export function createQuarantine(
  sources: QuarantineLinkSources,
): QuarantineController {
  const { self, emit, catalogue, fleet, serving, listened, now } = sources;
  return new QuarantineController({
    self,
    listened,
    claimTime: milliseconds(CLAIM_MS),
    tell: (news, to) =>
      fleet.mail.sendQuarantine(news, recipients(sources, to)),
    knock: ({ id, life, address }) =>
      emit({ kind: "knock", endpoint: id, life, address }),
    endpoints: () => catalogue.endpoints,
    carriers: (zones) => {
      const regions = new Set(
        [...zones].map((zone) => self.regionByZone.get(zone)),
      );
      return [...regions].flatMap((region) =>
        region === undefined ? [] : serving.of(region, now())
      ).map(({ incarnation }) => incarnation);
    },
    log: (part, text, fields) => emit({ kind: "log", part, text, fields }),
  });
}

function recipients(
  { fleet, random, serving, now }: QuarantineLinkSources,
  to: NewsRecipients,
): (record: FleetRecord) => boolean {
  if (to === "carriers") {
    const at = now();
    return (record) => serving.has(record, at);
  }
  const live = fleet.live().map(({ record }) => record);
  const picked = live.length <= SMALL_FLEET
    ? live
    : sample(live, FANOUT, random);
  const told = new Set(picked.map(({ incarnation }) => incarnation));
  return ({ incarnation }) => told.has(incarnation);
}
