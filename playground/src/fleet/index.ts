export {
  type Blueprint,
  type DemoCustomer,
  type Location,
  readBlueprint,
} from "./blueprint.ts";
export { Child } from "./child.ts";
export {
  Fleet,
  type FleetEntry,
  type FleetOptions,
  type FleetStandIn,
  PLAYGROUND_SECRET,
} from "./fleet.ts";
export { Relay } from "./relay.ts";
export { waitFor } from "./wait_for.ts";
