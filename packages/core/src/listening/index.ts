export {
  StallAdjustedClock,
  type StallAdjustedClockView,
} from "./stall_adjusted_clock.ts";
