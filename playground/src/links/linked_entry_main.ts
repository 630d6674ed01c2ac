/**
 * Runs an entry whose connections and datagrams take links that its parent process controls.
 *
 * @module
 */
import { Socket as DatagramSocket } from "node:dgram";
import { Socket } from "node:net";
import {
  LINKS_VARIABLE,
  type LinkSettings,
  type LinkState,
} from "./link_state.ts";

const { proxies, delaysMs }: LinkSettings = JSON.parse(
  process.env[LINKS_VARIABLE] ?? '{"proxies":{},"delaysMs":{}}',
);
let unreachable: ReadonlySet<string> = new Set();
let lost: LinkState["lost"] = {};
/** Connection attempts that are held because their target cannot be reached. */
let heldConnects: { readonly address: string; readonly start: () => void }[] =
  [];

process.on("message", (state: LinkState) => {
  unreachable = new Set(state.unreachable);
  lost = state.lost;
  const held = heldConnects;
  heldConnects = [];
  held.forEach(({ address, start }) => connectWhenReachable(address, start));
});
process.channel?.unref();
// A parent that ends without closing its fleet leaves no entry behind.
process.on("disconnect", () => process.exit());

interface ConnectOptions {
  host?: string;
  port?: number;
}

function connectWhenReachable(address: string, start: () => void): void {
  if (unreachable.has(address)) {
    heldConnects.push({ address, start });
  } else {
    start();
  }
}

const connectSocket = Socket.prototype.connect;
Socket.prototype.connect = function (
  this: Socket,
  ...args: unknown[]
): Socket {
  // `net.connect` passes its arguments on as one list.
  const list = Array.isArray(args[0]) ? args[0] : args;
  const options = list[0] as ConnectOptions;
  const proxy = proxies[`${options?.host}:${options?.port}`];
  if (proxy === undefined) {
    return connectSocket.apply(this, args as never);
  }
  const [host, port] = proxy.split(":");
  list[0] = { ...options, host, port: Number(port) };
  connectWhenReachable(proxy, () => {
    if (!this.destroyed) {
      connectSocket.apply(this, args as never);
    }
  });
  return this;
} as typeof Socket.prototype.connect;

const sendDatagram = DatagramSocket.prototype.send;
DatagramSocket.prototype.send = function (
  this: DatagramSocket,
  ...args: unknown[]
): void {
  const host = String(args[2]);
  if (Math.random() < (lost[host] ?? 0)) {
    return;
  }
  const delayMs = delaysMs[host] ?? 0;
  // The entry reuses the buffer's memory for nothing else, so that it can be sent later.
  setTimeout(() => {
    try {
      sendDatagram.apply(this, args as never);
    } catch {
      // The socket was closed meanwhile: the datagram is lost with it.
    }
  }, delayMs).unref();
} as typeof DatagramSocket.prototype.send;

await import(new URL("../../../platform/dist/main.js", import.meta.url).href);
