export type { Edit, Guard } from "./guard.ts";
export { describeTextMismatch } from "./guard_list.ts";
export { copyProject, removeGuard, ROOT } from "./project_copy.ts";
