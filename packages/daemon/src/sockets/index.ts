export { isReset } from "./is_reset.ts";
export {
  createConnector,
  createWatchedAgent,
  WatchedClient,
} from "./watched_client.ts";
