export { isReset } from "./is_reset.ts";
