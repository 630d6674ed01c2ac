/**
 * UDP socket for messages between entries.
 *
 * @module
 */
import { createSocket, type Socket } from "node:dgram";
import { type FleetMessage, parseSocketAddress } from "@sassafrasstep/core";
import { decodeFleetMessage, encodeFleetMessage } from "./fleet_schema.ts";

/** Sends and receives messages between entries as datagrams. */
export class DatagramSocket {
  readonly #socket: Socket = createSocket("udp4");
  /** The message encoded last. */
  #lastEncoded: { message: FleetMessage; bytes: Buffer } | undefined;
  /**
   * Bytes sent and received, and the number of datagrams that could not be decoded or whose recipient has no valid
   * address, for metrics.
   */
  readonly counts = { sent: 0, received: 0, undecodable: 0, unaddressed: 0 };

  constructor(receive: (message: FleetMessage) => void) {
    this.#socket.on("message", (bytes) => {
      this.counts.received += bytes.length;
      const message = decodeFleetMessage(bytes);
      if (message === undefined) {
        this.counts.undecodable++;
      } else {
        receive(message);
      }
    });
    // The host of a peer that has exited answers with an ICMP error. It is ignored: missing replies show the
    // same.
    this.#socket.on("error", () => {});
  }

  async listen(host: string, port: number): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.#socket.once("error", reject);
      this.#socket.bind(port, host, () => {
        this.#socket.off("error", reject);
        resolve();
      });
    });
  }

  send(to: string, message: FleetMessage): void {
    const target = parseSocketAddress(to);
    if (target === undefined) {
      this.counts.unaddressed++;
      return;
    }
    const bytes = this.#encode(message);
    this.counts.sent += bytes.length;
    this.#socket.send(bytes, target.port, target.host, ignoreSendError);
  }

  close(): void {
    this.#socket.close();
  }

  /** Encodes a message once, even if it is sent to many entries in a row. */
  #encode(message: FleetMessage): Buffer {
    if (message !== this.#lastEncoded?.message) {
      this.#lastEncoded = { message, bytes: encodeFleetMessage(message) };
    }
    return this.#lastEncoded.bytes;
  }
}

function ignoreSendError(): void {
  // A datagram that could not be sent counts as lost; the next ping makes up for it.
}
