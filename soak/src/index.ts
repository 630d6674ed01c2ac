export {
  type CasePlan,
  planWave,
  WAVE_KINDS,
  type WaveKind,
  type WavePlan,
} from "./plan.ts";
export {
  findUnservedWave,
  findViolation,
  type ObservedCall,
  type Violation,
} from "./promises.ts";
export { type Regression, REGRESSIONS } from "./regressions.ts";
export { playWave, type WaveResult } from "./wave.ts";
