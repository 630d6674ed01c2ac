/**
 * The parts of undici that an entry uses. Reading all of it took a tenth of the time of a start, and an
 * entry that was killed is missed until it is back.
 */
import api from "undici/lib/api/index.js";
import Dispatcher from "undici/lib/dispatcher/dispatcher.js";

// As the library's own entry does.
Object.assign(Dispatcher.prototype, api);

export { default as buildConnector } from "undici/lib/core/connect.js";
export { default as Agent } from "undici/lib/dispatcher/agent.js";
export { default as Client } from "undici/lib/dispatcher/client.js";
export { default as Pool } from "undici/lib/dispatcher/pool.js";
export { default as DecoratorHandler } from "undici/lib/handler/decorator-handler.js";

/** A request on a given dispatcher; there is no global one here. */
export function request(url, { dispatcher, ...options }) {
  const { origin, pathname, search } = new URL(url);
  return dispatcher.request({ ...options, origin, path: pathname + search });
}
