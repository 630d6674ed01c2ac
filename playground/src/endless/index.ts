export { Draw } from "./draw.ts";
export { EndlessServer, type ServedAnswer } from "./endless_server.ts";
export {
  type AnswerContext,
  ENDLESS_SHAPES,
  type EndlessShape,
} from "./endless_shapes.ts";
export { peakMemoryOf, resetPeakMemory } from "./process_memory.ts";
export { callRaw, type Reader } from "./raw_caller.ts";
