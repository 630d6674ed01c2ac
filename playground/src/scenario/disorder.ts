/**
 * Random scenarios for property tests: calls, crashes, freezes, partitions and configuration changes in
 * any order.
 *
 * @module
 */
import fc from "fast-check";

const ENTRIES = ["n1", "n2", "n3", "s1", "s2"];
const ENDPOINTS = ["pn1", "pn2", "ps1", "en1", "en2", "es1"];
const PLAIN_ENDPOINTS = ["pn1", "pn2", "ps1"];
const KEYS = ["k1", "k2", "k3", "k4"];
const ENDPOINT_MODES = [
  "normal",
  "normal",
  "refuse",
  "fail",
  "reset_before",
  "reset_after",
  "hang_before",
  "hang_after",
];
const SCRIPT_LENGTH_MS = 40_000;
const TIME_STEP_MS = 10;

const entry = fc.constantFrom(...ENTRIES);
const endpoint = fc.constantFrom(...ENDPOINTS);
const keyOwner = fc.constantFrom("n1", "n2", "n3");

/** Calls with few keys through many entries, so that calls with the same key overlap. */
const call = fc.record({
  via: entry,
  owner: keyOwner,
  key: fc.constantFrom(...KEYS),
  deadline: fc.constantFrom("300ms", "2s", "8s"),
}).map(({ via, owner, key, deadline }) =>
  `call @ clinic check-in via ${via} key ${key} of ${owner} deadline ${deadline}`
);

const ask = fc.record({
  via: entry,
  customer: fc.constantFrom("clinic", "office", "guest"),
})
  .map(({ via, customer }) => `ask @ ${customer} via ${via}`);

const disruption = fc.oneof(
  entry.map((name) => `kill ${name}`),
  entry.map((name) => `restart ${name}`),
  entry.map((name) => `stop ${name}`),
  entry.map((name) => `freeze ${name}`),
  entry.map((name) => `thaw ${name}`),
  fc.constantFrom("north-a", "north-b", "south-a").map((zone) =>
    `isolate ${zone}`
  ),
  fc.constant("heal"),
  endpoint.map((name) => `fail ${name}`),
  endpoint.map((name) => `revive ${name}`),
  endpoint.map((name) => `drain ${name}`),
  endpoint.map((name) => `leave ${name}`),
  fc.record({
    name: fc.constantFrom(...PLAIN_ENDPOINTS),
    mode: fc.constantFrom(...ENDPOINT_MODES),
  })
    .map(({ name, mode }) => `mode ${name} ${mode}`),
  fc.record({
    name: fc.constantFrom(...PLAIN_ENDPOINTS),
    time: fc.constantFrom("5ms", "400ms", "3s"),
  })
    .map(({ name, time }) => `hold ${name} ${time}`),
  fc.constantFrom("en1", "en2").map((name) => `mode ${name} cut_stream`),
  fc.constantFrom("normal", "outage", "stale", "backwards").map((mode) =>
    `platform ${mode}`
  ),
  fc.constantFrom("normal", "frozen", "down").map((mode) => `vm-list ${mode}`),
  fc.integer({ min: 500, max: 900 }).map((rate) =>
    `publish customer/clinic requests_per_s=${rate}`
  ),
  fc.constant("publish bad"),
  fc.constant("lose-hand-overs"),
);

/** Scripts for the two-region setting. `@` in an action is replaced by a unique caller name. */
export const randomScenario: fc.Arbitrary<string> = fc.array(
  fc.record({
    at: fc.integer({ min: 0, max: SCRIPT_LENGTH_MS / TIME_STEP_MS }).map((
      step,
    ) => step * TIME_STEP_MS),
    action: fc.oneof({ arbitrary: call, weight: 5 }, {
      arbitrary: ask,
      weight: 2,
    }, { arbitrary: disruption, weight: 5 }),
  }),
  { minLength: 5, maxLength: 60 },
).map((steps) => {
  const lines = steps.map(({ at, action }, index) =>
    `at ${at}ms ${action.replace("@", `c${index}`)}`
  );
  return [
    "title disorder",
    "use two_regions",
    "epoch 15s",
    ...lines,
    `at ${SCRIPT_LENGTH_MS + 10_000}ms heal`,
  ].join("\n");
});
