import type { FleetMessage } from "@sassafrasstep/core";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { DatagramSocket } from "../datagram_socket.ts";

const MESSAGE = {
  kind: "retries",
  message: { kind: "ask", from: "a1", service: "pool", amount: 1 },
} as unknown as FleetMessage;

describe("the datagram socket", () => {
  let socket: DatagramSocket;

  beforeEach(async () => {
    socket = new DatagramSocket(() => {});
    await socket.listen("127.0.0.1", 0);
  });
  afterEach(() => socket.close());

  // Sending to a port out of range throws at once. An address in a peer's message ended the process.
  it.each(["127.0.0.1:80800", "127.0.0.1:0", "127.0.0.1:x", "127.0.0.1", ""])(
    "counts a message to %j as unaddressed",
    (address) => {
      socket.send(address, MESSAGE);
      expect(socket.counts).toMatchObject({ sent: 0, unaddressed: 1 });
    },
  );
});
