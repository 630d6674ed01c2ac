export { afterPoll, type Cancel } from "./after_poll.ts";
export { afterListening, whileListening } from "./while_listening.ts";
