export { isReset } from "./is_reset.ts";
export { PausableReads } from "./read_hold.ts";
export { readJson } from "./read_json.ts";
