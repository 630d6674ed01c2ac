export {
  createConnector,
  createResetAwareAgent,
  ResetAwareClient,
} from "./reset_aware_client.ts";
