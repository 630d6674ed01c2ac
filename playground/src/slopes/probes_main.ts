/**
 * `npm run probes`: the table of fleets of entries before routes.
 *
 * @module
 */
import { measureProbes } from "./probe_fleet.ts";

const SIZES = [9, 90, 530];

for (const size of SIZES) {
  console.log(JSON.stringify(measureProbes(size)));
}
