export { ListenedTime, type ListenedTimeView } from "./listened_time.ts";
