export {
  AnswerTooLargeError,
  Caller,
  type CallerEvents,
  type CallerRequest,
  MAX_BODY_BYTES,
} from "./caller.ts";
export { type CallerService, createCallerServer } from "./caller_server.ts";
export { type ChatBody, parseChatBody, prefixBlocks } from "./chat_body.ts";
export {
  CompletionFormat,
  formatCompletion,
  FrameFormat,
} from "./chat_format.ts";
export * from "./headers.ts";
export { toProblem } from "./problem.ts";
export { readCallerRequest, tokenDigest } from "./request_head.ts";
