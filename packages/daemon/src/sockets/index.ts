export { ChunkJoiner } from "./chunk_joiner.ts";
export { ChunkList } from "./chunk_list.ts";
export { isReset } from "./is_reset.ts";
export { PausableReads } from "./pausable_reads.ts";
export { readJson } from "./read_json.ts";
export { RequestSequence } from "./request_sequence.ts";
export { ServerDrain } from "./server_drain.ts";
export { withValidUrl } from "./valid_url.ts";
