/**
 * Checks where requests and their bodies went: to the homes of their routes, and to no more endpoints than allowed.
 *
 * @module
 */
import type { ObservedAnswer } from "./action_caller.ts";
import { homesOf, ROUTES } from "./action_plan.ts";
import type { SentBody } from "./body_watch.ts";
import { indexOfEndpoint, type RunLedger } from "./run_ledger.ts";
import type { Violation } from "../promises.ts";

/** Processes with their regions, and what was seen of them. */
export interface ObservedPlaces {
  readonly answers: readonly ObservedAnswer[];
  readonly ledger: RunLedger;
  readonly bodies: readonly SentBody[];
  /** Region of each entry. */
  readonly entries: readonly string[];
  readonly endpoints: readonly { readonly region: string }[];
}

/** Finds requests that were run or carried outside of their homes, and those that ran at too many endpoints. */
export function findPlaceViolations(places: ObservedPlaces): Violation[] {
  const { answers } = places;
  const routes = new Map(answers.map(({ call, plan }) => [call, plan.route]));
  return [
    ...answers.flatMap((answer) => findRunsAway(answer, places)),
    ...findBodiesAway(routes, places),
  ];
}

function findRunsAway(
  { call, plan: { route } }: ObservedAnswer,
  { ledger, endpoints }: ObservedPlaces,
): Violation[] {
  const homes = homesOf(route);
  const indexes = ledger.of(call).map(indexOfEndpoint);
  const away = indexes.filter((index) =>
    homes !== undefined && !homes.includes(endpoints[index]!.region)
  );
  const distinct = new Set(ledger.of(call).map(({ endpoint }) => endpoint));
  return [
    ...away.map((index) => ({
      call,
      what: `${route}: ran in region ${endpoints[index]!.region}, not at home`,
    })),
    ...distinct.size > ROUTES[route].attempts
      ? [{ call, what: `${route}: ran at ${distinct.size} endpoints` }]
      : [],
  ];
}

/** An entry that has received a request from its caller may send the body to a home or within its own region. */
function findBodiesAway(
  routes: ReadonlyMap<string, ObservedAnswer["plan"]["route"]>,
  { bodies, entries }: ObservedPlaces,
): Violation[] {
  return bodies.flatMap(({ call, from, to }) => {
    const route = routes.get(call);
    const homes = route === undefined ? undefined : homesOf(route);
    const region = entries[to]!;
    const isAllowed = homes === undefined || homes.includes(region) ||
      region === entries[from];
    return isAllowed
      ? []
      : [{ call, what: `${route}: its body was sent to region ${region}` }];
  });
}
