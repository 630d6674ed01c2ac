/**
 * What a stand-in for a model engine is like, and the faults it can be given.
 *
 * @module
 */

/** Size and speed of an engine. */
export interface EngineOptions {
  readonly slots: number;
  /** Prompt tokens a second in one slot. */
  readonly prefillRate: number;
  /** Milliseconds for one token. */
  readonly decodeMs: number;
  readonly cacheBlocks: number;
  readonly model: string;
  /** Whether orders with an old fencing number are refused. */
  readonly fenced: boolean;
  /** Age of the load that is reported. */
  readonly loadLagMs: number;
  /** Where a model's weights are loaded from; empty loads at once. */
  readonly weightStoreUrl: string;
}

/** Faults of an engine's streams. */
export interface EngineFaults {
  /** Break the connection after so many tokens of an answer. */
  readonly resetAfter?: number;
  /** End the stream after so many tokens without its end mark. */
  readonly truncateAfter?: number;
  /** Send every token twice. */
  readonly duplicate?: boolean;
  /** Swap pairs of tokens. */
  readonly swap?: boolean;
  /** Mix in frames of another request. */
  readonly foreign?: boolean;
  /** Take the request and say nothing. */
  readonly hang?: boolean;
  /** Refuse with 503. */
  readonly refuse?: boolean;
}

/** Common sizes. */
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
