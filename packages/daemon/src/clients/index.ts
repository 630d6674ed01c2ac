export {
  createConnector,
  createWatchedAgent,
  WatchedClient,
} from "./watched_client.ts";
