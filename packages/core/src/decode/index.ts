export * from "./answer_length.ts";
export * from "./answer_progress.ts";
export * from "./decode_speed.ts";
export * from "./engine_answers.ts";
