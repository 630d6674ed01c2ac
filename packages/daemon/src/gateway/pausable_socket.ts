/**
 * Socket of a connection to an endpoint or a peer whose reading can be paused.
 *
 * @module
 */
import { Socket } from "node:net";
import { FramingMeter } from "./framing_meter.ts";

/**
 * Socket that can withhold received data, including the end of the stream.
 *
 * The HTTP client can pause an answer itself, but not safely if the answer is delimited by its connection:
 * when that connection ends or is reset meanwhile, the client finishes a paused parser, and its failing
 * assertion ends the process with all its streams. While the socket withholds the data, the client sees an
 * idle connection.
 */
export class PausableSocket extends Socket {
  /** Bytes received beside the bodies of answers. */
  readonly framing = new FramingMeter();
  #readingPaused = false;

  /** Whether reading is paused. */
  get readingPaused(): boolean {
    return this.#readingPaused;
  }

  /** Withholds received data. Once the kernel's buffer is full, the sender has to wait. */
  pauseReading(): void {
    this.#readingPaused = true;
  }

  /** Delivers the data that has arrived meanwhile and continues reading. */
  resumeReading(): void {
    if (this.#readingPaused) {
      this.#readingPaused = false;
      // Deferred: the client may still be processing what it read before.
      process.nextTick(() => this.#emitReadable());
    }
  }

  #emitReadable(): void {
    if (!this.destroyed) {
      this.emit("readable");
    }
  }

  override read(size?: number): unknown {
    if (this.#readingPaused) {
      return null;
    }
    // The client asks for more once it has parsed what it was given before.
    if (this.framing.isExceeded) {
      this.destroy(new Error("Answer has too many bytes beside its body"));
      return null;
    }
    const chunk = super.read(size) as Buffer | null;
    this.framing.addRead(chunk?.length ?? 0);
    return chunk;
  }
}
