export { FleetClient } from "./fleet_client.ts";
export {
  explainRequest,
  showEntries,
  showMetrics,
  showStatus,
} from "./fleet_commands.ts";
export { showLosses } from "./loss_commands.ts";
export { releaseRequest, showGateway } from "./gateway_commands.ts";
export { checkFile, diffFiles } from "./configuration_commands.ts";
