export { catalogueAge } from "./catalogue_controller.ts";
export type { CatalogueView } from "./catalogue_view.ts";
export type { DirectoryAnswer, DirectoryRequest } from "./entry_directory.ts";
export type { EndpointState } from "./endpoint_state.ts";
export { Gateway } from "./gateway.ts";
export {
  createRefusal as createCallRefusal,
  promisesNotRun,
} from "./refusals.ts";
export * from "./messages.ts";
