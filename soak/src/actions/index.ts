export {
  ACTION_WAVE_KINDS,
  type ActionWaveKind,
  planActionWave,
} from "./action_plan.ts";
export { type ActionWaveResult, playActionWave } from "./action_wave.ts";
