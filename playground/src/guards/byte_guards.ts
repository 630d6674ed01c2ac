/**
 * Guards of the bytes of streams and answers. Tests over real sockets fail without them.
 *
 * @module
 */
import type { Guard } from "./guard.ts";

const CORE = "packages/core/src/gateway";
const DAEMON = "packages/daemon/src/gateway";
const POINT = "bytes";

/** Guards of the bytes of answers. */
export const BYTE_GUARDS: readonly Guard[] = [
  {
    point: POINT,
    name: "what an attempt half received dies with it",
    file: `${DAEMON}/outbound_call.ts`,
    find: "this.#eventReader = new EventStreamReader(",
    replace:
      "const kept = this.#exchange as unknown as { eventReader?: EventStreamReader };\n      this.#eventReader = kept.eventReader ??= new EventStreamReader(",
  },
  {
    point: POINT,
    name: "two answers that ran into one are no answer",
    file: `${DAEMON}/outbound_call.ts`,
    find: "if (containsStatusLine(reason, this.#headers)) {",
    replace: "if (containsStatusLine(reason, [])) {",
  },
  {
    point: POINT,
    name: "an answer that ends inside an event is not whole",
    file: `${DAEMON}/event_stream_reader.ts`,
    find: "if (this.#splitter.unfinishedBytes > 0) {",
    replace: "if (this.#splitter.unfinishedBytes < 0) {",
  },
  {
    point: POINT,
    name: "events whose lines end with carriage returns have an end",
    file: `${DAEMON}/event_splitter.ts`,
    find:
      "const before = bytes[index - 1] === CARRIAGE_RETURN ? index - 2 : index - 1;",
    replace: "const before = index - 1;",
  },
  {
    point: POINT,
    name: "a stream goes on only from a place that can be told",
    file: `${CORE}/call_recovery.ts`,
    find: 'const fixed = call.phase === "answering" && !call.resumable;',
    replace: "const fixed = false;",
  },
  {
    point: POINT,
    name: "events without an id make the place unknown",
    file: `${CORE}/stream_position.ts`,
    find:
      "this.#known = !unnumbered && (this.#known || lastEventId !== undefined);",
    replace: "this.#known = this.#known || unnumbered;",
  },
  {
    point: POINT,
    name: "another type of body is not cut at events",
    file: `${DAEMON}/outbound_call.ts`,
    find: "status === OK && isEventStream(this.#headers)",
    replace: "status === OK",
  },
  {
    point: POINT,
    name: "an answer without a length that was reset is torn",
    file: `${DAEMON}/connection_pool.ts`,
    find: "if (this.closeDelimited && isReset(socket)) {",
    replace: "if (this.closeDelimited && socket.destroyed) {",
  },
  {
    point: POINT,
    name: "a stream's length is its entry's to tell",
    file: `${DAEMON}/outbound_call.ts`,
    find: 'mode === "events" ? withoutContentLength(headers) : headers,',
    replace: "headers,",
  },
  {
    point: POINT,
    name: "a stream does not go on with events that its caller has",
    file: `${DAEMON}/event_stream_reader.ts`,
    find: "if (this.#isRepeat(events?.firstId)) {",
    replace: "if (this.#isRepeat(undefined)) {",
  },
  {
    point: POINT,
    name: "an event has an end within bounds",
    file: `${DAEMON}/event_stream_reader.ts`,
    find: "this.#splitter.bufferedBytes > MAX_EVENT_BYTES",
    replace: "this.#splitter.bufferedBytes > Infinity",
  },
  {
    point: POINT,
    name: "an attempt that was left writes nothing more",
    file: `${DAEMON}/answer_writer.ts`,
    find: "const open = !this.#closed && !this.#reply.destroyed;",
    replace: "const open = !this.#reply.destroyed;",
  },
  {
    point: POINT,
    name: "a new attempt waits while the caller has no room",
    file: `${DAEMON}/answer_writer.ts`,
    find: "if (reply.writableNeedDrain) {",
    replace: "if (reply.destroyed) {",
  },
  {
    point: POINT,
    name: "a slow caller makes no endpoint look silent",
    file: `${CORE}/call_recovery.ts`,
    find: "if (backpressureSince !== undefined) {",
    replace: "if (backpressureSince === now) {",
  },
  {
    point: POINT,
    name: "an answer is broken off after what was written",
    file: `${DAEMON}/abort_reply.ts`,
    find: "if (socket === null || !reply.headersSent) {",
    replace: "if (socket !== null || !reply.headersSent) {",
  },
  {
    point: "pauses",
    name: "a limit of several turns counts the time of listening",
    file: "packages/daemon/src/timers/active_timeout.ts",
    find: "left -= Math.min(performance.now() - from, 2 * part);",
    replace: "left -= performance.now() - from;",
  },
];
