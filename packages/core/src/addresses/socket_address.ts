/**
 * Addresses of the form `host:port`.
 *
 * @module
 */

const MAX_PORT = 65_535;
const PORT_PATTERN = /^\d{1,5}$/;
/** IPv4 and IPv6 addresses and host names, without spaces, brackets or anything else that a URL gives a meaning. */
const HOST_PATTERN = /^[\w.:-]{1,253}$/;

/** An address to connect to or to send datagrams to. */
export interface SocketAddress {
  readonly host: string;
  /** From 1 to 65535. */
  readonly port: number;
}

/** Whether a text is the address of a socket. */
export function isSocketAddress(text: string): boolean {
  return parseSocketAddress(text) !== undefined;
}

/**
 * Parses `host:port`; returns `undefined` for a text that names no address. The socket API throws for ports out of
 * range, so addresses that come from another process are parsed before they are used.
 */
export function parseSocketAddress(text: string): SocketAddress | undefined {
  const colon = text.lastIndexOf(":");
  const host = text.slice(0, colon);
  const portText = text.slice(colon + 1);
  if (colon < 0 || !HOST_PATTERN.test(host) || !PORT_PATTERN.test(portText)) {
    return undefined;
  }
  const port = Number(portText);
  return port > 0 && port <= MAX_PORT ? { host, port } : undefined;
}
