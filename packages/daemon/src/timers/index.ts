export { afterPoll, type Cancel } from "./after_poll.ts";
