/**
 * The quarantine's view of the entry: published endpoints, who is alive, whom to tell.
 *
 * @module
 */
import type { FleetController } from "../fleet/index.ts";
import type { Instant } from "../ids/index.ts";
import {
  QuarantineController,
  type QuarantineNews,
} from "../quarantine/index.ts";
import type { CatalogueView } from "./catalogue_view.ts";
import type { GatewayEmit, GatewaySelf } from "./messages.ts";
import type { ServingSet } from "./serving_set.ts";

/** What the link is made of. */
export interface QuarantineLinkSources {
  readonly self: Pick<GatewaySelf, "incarnation">;
  readonly emit: GatewayEmit;
  readonly catalogue: CatalogueView;
  readonly fleet: FleetController;
  readonly serving: ServingSet;
  readonly now: () => Instant;
}

/** Makes the quarantine of an entry. */
export function createQuarantine(
  { self, emit, catalogue, fleet, serving, now }: QuarantineLinkSources,
): QuarantineController {
  const tell = (news: QuarantineNews, to: "carriers" | "all"): void => {
    const at = now();
    fleet.sendQuarantine(
      news,
      (record) => to === "all" || serving.has(record, at),
    );
  };
  return new QuarantineController({
    self,
    tell,
    knock: ({ id, life, address }) =>
      emit({ kind: "knock", endpoint: id, life, address }),
    endpoints: () => catalogue.endpoints,
    entries: () => [
      self.incarnation,
      ...fleet.live().map(({ record }) => record.incarnation),
    ],
    log: (part, text, fields) => emit({ kind: "log", part, text, fields }),
  });
}
