export { callTimeout, CallTimeoutError } from "./call_timeout.ts";
export { isReset } from "./is_reset.ts";
