export { FleetClient } from "./fleet.ts";
export {
  explainRequest,
  showEntries,
  showMetrics,
  showStatus,
} from "./fleet_commands.ts";
export { showLosses } from "./loss_commands.ts";
export { releaseRequest, showGateway } from "./gateway_commands.ts";
export { checkFile, diffFiles } from "./text_commands.ts";
