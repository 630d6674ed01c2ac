/**
 * Measures failure detection at several fleet sizes and prints a JSON line each: `npm run probes`.
 *
 * @module
 */
import { measureProbes } from "./probe_fleet.ts";

const SIZES = [9, 90, 530];

for (const size of SIZES) {
  console.log(JSON.stringify(measureProbes(size)));
}
