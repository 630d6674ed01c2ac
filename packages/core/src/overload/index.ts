export * from "./admission_decision.ts";
export * from "./region_admission.ts";
export * from "./region_rate.ts";
export * from "./return_schedule.ts";
export * from "./stated_times.ts";
export * from "./waiting_work.ts";
export * from "./work_units.ts";
