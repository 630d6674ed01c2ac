/**
 * The socket for datagrams between entries.
 *
 * @module
 */
import { createSocket, type Socket } from "node:dgram";
import type { FleetMessage } from "@sassafrasstep/core";
import { decodeFleetMessage, encodeFleetMessage } from "./fleet_schema.ts";

/** Sends and receives fleet messages. */
export class Datagrams {
  readonly #socket: Socket = createSocket("udp4");
  #last: { message: FleetMessage; bytes: Buffer } | undefined;
  /** Bytes sent and received, and datagrams that were not ours, for metrics. */
  readonly counts = { sent: 0, received: 0, foreign: 0 };

  constructor(receive: (message: FleetMessage) => void) {
    this.#socket.on("message", (bytes) => {
      this.counts.received += bytes.length;
      const message = decodeFleetMessage(bytes);
      if (message === undefined) {
        this.counts.foreign++;
      } else {
        receive(message);
      }
    });
    // A peer that has ended answers with an ICMP error; its silence says the same.
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
    const bytes = this.#encode(message);
    const colon = to.lastIndexOf(":");
    this.counts.sent += bytes.length;
    this.#socket.send(
      bytes,
      Number(to.slice(colon + 1)),
      to.slice(0, colon),
      ignoreUnsent,
    );
  }

  close(): void {
    this.#socket.close();
  }

  /** A message that goes to many is written once. */
  #encode(message: FleetMessage): Buffer {
    if (message !== this.#last?.message) {
      this.#last = { message, bytes: encodeFleetMessage(message) };
    }
    return this.#last.bytes;
  }
}

function ignoreUnsent(): void {
  // A datagram that could not be sent is a lost one; the next ping repeats it.
}
