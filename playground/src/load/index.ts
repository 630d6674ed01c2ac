export {
  type LoadReport,
  type LoadSummary,
  reportLoad,
} from "./load_report.ts";
export { type LoadResult, runLoad } from "./load_run.ts";
