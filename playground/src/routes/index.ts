export { type RoutesOutcome, runRoutes } from "./run_routes.ts";
