export type { Edit, Guard } from "./guard.ts";
export { checkTexts, copyProject, ROOT, takeOut } from "./project_copy.ts";
