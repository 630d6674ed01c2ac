/**
 * What an entry process is told about its links.
 *
 * @module
 */

/** Environment variable with the initial `LinkSettings` as JSON. */
export const LINKS_VARIABLE = "SASSAFRASSTEP_LINKS";

/** Links of an entry process that don't change. */
export interface LinkSettings {
  /** Addresses (`host:port`) that connections go to instead of the addresses that the entry knows. */
  readonly proxies: Readonly<Record<string, string>>;
  /** One-way delay of datagrams by destination host, in milliseconds. */
  readonly delaysMs: Readonly<Record<string, number>>;
}

/** Links of an entry process that change; sent as a message to the process. */
export interface LinkState {
  /** Addresses of proxies to which no connection can be established now. */
  readonly unreachable: readonly string[];
  /** Fraction of datagrams that are lost, by destination host. */
  readonly lost: Readonly<Record<string, number>>;
}
