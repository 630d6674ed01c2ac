export {
  StallAdjustedClock as StallAdjustedClock,
  type StallAdjustedClockView as StallAdjustedClockView,
} from "./stall_adjusted_clock.ts";
