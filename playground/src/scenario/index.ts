export { runAction, type ScenarioContext } from "./actions.ts";
export { FakeEndpoint } from "./endpoint_fakes.ts";
export { randomScenario } from "./disorder.ts";
export {
  buildWorld,
  runScenario,
  type ScenarioOutcome,
} from "./run_scenario.ts";
export { parseScript } from "./script.ts";
export { ScenarioText } from "./scenario_text.ts";
export { World } from "./world.ts";
