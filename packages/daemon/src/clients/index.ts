export {
  createConnector,
  createResetAwareAgent,
  ResetAwareClient,
} from "./watched_client.ts";
