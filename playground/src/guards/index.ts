export type { Edit, Guard } from "./guard.ts";
export { faultOfText } from "./guard_list.ts";
export { copyProject, ROOT, takeOut } from "./project_copy.ts";
