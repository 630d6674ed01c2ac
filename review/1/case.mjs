/**
 * Another writer puts one entry beside those of the runners into the store: its address has a port that none can have.
 * It names no runner to use; the machines have to go on with the others. They end by themselves instead, again and
 * again, and with them the requests that sound runners are at work on.
 */
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { calm, clock, Deployment, keptAgent, Record, send, sleep } from "../stand_ins/harness.mjs";

const INTERVAL_MS = 16;
const BEFORE_MS = 3_000;
const AFTER_MS = 8_000;
/** The platform starts a process that has ended again, after a short delay. */
const RESTART_DELAY_MS = 500;
/** "more than three times" */
const ALLOWED = 3;

const record = new Record(dirname(fileURLToPath(import.meta.url)));
const deployment = new Deployment({
  zones: { "nbo-a": "nairobi", "mba-a": "mombasa", "ksm-a": "kisumu" },
});
let outcome = 2;
let closing = false;

function restartAlways(entry) {
  entry.process.on("exit", () => {
    if (!closing) {
      setTimeout(() => {
        if (!closing) {
          deployment.launch(entry);
          restartAlways(entry);
        }
      }, RESTART_DELAY_MS);
    }
  });
}

try {
  const { store } = deployment;
  await store.listen();
  deployment.configure({
    services: [{ name: "mkoba", connection_limit: 110 }],
    routes: [{
      name: "allowance-topup",
      path_prefix: "/topup/",
      kind: "non_idempotent",
      service: "mkoba",
      timeout_ms: 5_000,
      response_target_ms: 600,
    }],
  });
  for (const [index, zone] of ["nbo-a", "nbo-a", "nbo-a", "mba-a", "ksm-a"].entries()) {
    await deployment.addRunner({ id: `i-${zone}-${index}`, service: "mkoba", zone, workMs: 250 });
  }
  await deployment.startEntries(["nbo-a", "nbo-a", "mba-a", "ksm-a"]);
  deployment.entries.forEach(restartAlways);
  await sleep(3_000);
  const entries = deployment.entries.filter(({ zone }) => zone === "nbo-a");
  const agents = entries.map(keptAgent);
  const attempts = [];
  const timer = setInterval(() => {
    const index = attempts.length;
    const which = index % entries.length;
    attempts.push(send(entries[which].front, {
      call: `topup-${index}`,
      path: "/topup/child",
      method: "POST",
      body: "x".repeat(600),
      deadline: 10_000,
      agent: agents[which],
    }).then((result) => ({ ...result, entry: entries[which].name })));
  }, INTERVAL_MS);
  await sleep(BEFORE_MS);
  const writtenAt = clock();
  if (!calm) {
    store.put("servers/i-other", {
      service: "mkoba",
      address: "127.0.0.1:80800",
      zone: "nbo-a",
      version: "v1",
      slots: 6,
      state: "ready",
      cold_remaining_ms: 0,
      sequence: 1,
    });
    record.say("another writer has put an entry with the address 127.0.0.1:80800 into the store");
  }
  await sleep(AFTER_MS);
  clearInterval(timer);
  const answers = await Promise.all(attempts);
  closing = true;
  const counts = {};
  /** By entry. */
  const lost = {};
  for (const { call, entry, sentAt, doneAt, status, error, reused } of answers) {
    const runner = deployment.runners.find(({ events }) =>
      events.some((event) => event.call === call && event.what === "runs")
    );
    const isLost = status === 0 && reused === true && runner !== undefined;
    lost[entry] = (lost[entry] ?? 0) + (isLost ? 1 : 0);
    const outcomeOf = status === 0 ? `no answer (${error})` : String(status);
    counts[outcomeOf] = (counts[outcomeOf] ?? 0) + 1;
    record.line(`${call} at ${entry}: sent at ${(sentAt / 1000).toFixed(3)} s on a ${reused ? "kept" : "new"} connection, ${runner === undefined ? "not run" : `run by ${runner.id}`}, ${outcomeOf} after ${(doneAt - sentAt).toFixed(0)} ms${isLost ? "  LOST" : ""}`);
  }
  record.say(`answers: ${JSON.stringify(counts)}`);
  for (const { name, exits, output } of deployment.entries) {
    const ends = exits.map(({ at, code, signal }) => `${((at - writtenAt) / 1000).toFixed(2)} s (${signal ?? `code ${code}`})`);
    record.say(`${name} ended by itself ${exits.length} times${ends.length === 0 ? "" : `, after the entry was written: ${ends.join(", ")}`}`);
    const fault = output.split("\n").find((line) => /^\w*Error\b/.test(line));
    if (fault !== undefined) {
      record.say(`  ${fault}`);
    }
  }
  record.say(`requests on kept connections that a sound runner ran and whose connection the entry closed without an answer, by entry: ${JSON.stringify(lost)}; allowed: ${ALLOWED}`);
  outcome = Object.values(lost).some((count) => count > ALLOWED) ? 1 : 0;
  record.say(outcome === 1 ? "LOST is broken" : "LOST is kept");
} catch (error) {
  record.say(`The case could not run: ${error.stack}`);
} finally {
  closing = true;
  await deployment.close();
}
process.exit(outcome);
