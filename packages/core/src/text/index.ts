export * from "./deployment.ts";
export * from "./diff.ts";
export { type LineFault, LineIndex, toExcerpt } from "./line_index.ts";
export * from "./parse.ts";
export * from "./patch.ts";
