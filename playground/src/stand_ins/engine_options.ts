/**
 * Options and faults of the stand-in for a model engine.
 *
 * @module
 */

/** Size and speed of an engine. */
export interface EngineOptions {
  readonly slots: number;
  /** Prefill speed of one slot in prompt tokens per second. */
  readonly prefillRate: number;
  /** Time to decode one token, in milliseconds. */
  readonly decodeMs: number;
  readonly cacheBlocks: number;
  readonly model: string;
  /** Whether orders with an old fencing number are refused. */
  readonly fenced: boolean;
  /** Age of the reported load, in milliseconds. */
  readonly loadLagMs: number;
  /** Base URL of the weight store. If empty, models load immediately. */
  readonly weightStoreUrl: string;
}

/** Faults that an engine can be given. */
export interface EngineFaults {
  /** Reset the connection after this many tokens of an answer. */
  readonly resetAfter?: number;
  /** End the stream after this many tokens, without the final `done` frame. */
  readonly truncateAfter?: number;
  /** Send every token twice. */
  readonly duplicate?: boolean;
  /** Swap the tokens of each pair. */
  readonly swap?: boolean;
  /** Insert frames with another request's id. */
  readonly foreign?: boolean;
  /** Accept the request but never answer. */
  readonly hang?: boolean;
  /** Refuse requests with 503. */
  readonly refuse?: boolean;
}

/** Default options of an engine. */
export const DEFAULT_ENGINE: EngineOptions = {
  slots: 4,
  prefillRate: 4_000,
  decodeMs: 10,
  cacheBlocks: 256,
  model: "guest-8b@v1",
  fenced: true,
  loadLagMs: 200,
  weightStoreUrl: "",
};
