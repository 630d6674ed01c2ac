/**
 * Connects the retry budget to this entry's view of the fleet.
 *
 * @module
 */
import type { FleetController } from "../fleet/index.ts";
import {
  hash32,
  type Incarnation,
  type Instant,
  type Randomness,
  type RegionId,
} from "../ids/index.ts";
import {
  divideSlack,
  RetryBudget,
  RetryLoans,
  type SlackShare,
} from "../retries/index.ts";
import type { GatewayIdentity } from "./messages.ts";

const UINT32_RANGE = 2 ** 32;

/** The budget of an entry, and what it takes to spend from it. */
export interface RetryBudgetParts {
  readonly budget: RetryBudget;
  readonly loans: RetryLoans;
  readonly slackShare: (now: Instant) => SlackShare;
}

/** Creates the retry budget of an entry. */
export function createRetryBudget(
  { self, fleet, random }: {
    self: GatewayIdentity;
    fleet: FleetController;
    random: Randomness;
  },
  now: Instant,
): RetryBudgetParts {
  const regions = new Set(self.regionByZone.values()).size;
  const slackShare = (at: Instant): SlackShare =>
    divideSlack({
      regions,
      entries: fleet.entriesThatMayExist(self.region, at),
    });
  const roundsUpFrom = hash32(`retries ${self.incarnation}`) / UINT32_RANGE;
  const budget = new RetryBudget(self.bounds, { roundsUpFrom }, now);
  const loans = new RetryLoans({
    self: self.incarnation,
    budget,
    random,
    slackShare,
    peers: () => fleet.derive(liveEntriesOf, self.region),
    send: (to, message) => {
      const address = fleet.peerAddressOf(to);
      if (address !== undefined) {
        fleet.sender.sendWithoutRecord(address, { kind: "retries", message });
      }
    },
  });
  return { budget, loans, slackShare };
}

function liveEntriesOf(
  region: RegionId,
  fleet: FleetController,
): readonly Incarnation[] {
  return fleet.liveMembers().filter(({ record }) => record.region === region)
    .map(({ record }) => record.incarnation);
}
