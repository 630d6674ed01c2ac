/**
 * Guards for a catalogue store that is restored from a backup.
 *
 * @module
 */
import type { Guard } from "./guard.ts";

const GATEWAY = "packages/core/src/gateway";
const CONTROLLER = `${GATEWAY}/catalogue_controller.ts`;
const LOCAL_CATALOGUE = `${GATEWAY}/local_catalogue.ts`;
const POINT = "routes: restored store";

/** Guards for a restored catalogue store. */
export const EPOCH_GUARDS: readonly Guard[] = [
  {
    point: POINT,
    name: "an entry reads on from where a restored store stands",
    file: LOCAL_CATALOGUE,
    find:
      "      epoch: Math.max(localEpoch, epoch ?? localEpoch) as CatalogueEpoch,\n" +
      "      revision,",
    replace:
      "      epoch: Math.max(localEpoch, epoch ?? localEpoch) as CatalogueEpoch,\n" +
      "      revision: Math.max(revision, this.position.revision) as Revision,",
  },
  {
    point: POINT,
    name: "an answer of another epoch is not applied to what is held",
    file: `${GATEWAY}/epoch_tracker.ts`,
    find: "if (epoch === undefined || epoch === this.#lastEpoch) {",
    replace: "if (epoch === undefined || epoch !== Infinity) {",
  },
  {
    point: POINT,
    name: "what was sent for before a peer's newer picture came is late",
    file: `${GATEWAY}/epoch_tracker.ts`,
    find: "if (epochChanged && !(isFullRead && epoch === position.epoch)) {",
    replace: "if (epochChanged && isFullRead && epoch === Infinity) {",
  },
  {
    point: POINT,
    name: "positions of two epochs are ordered by the epoch",
    file: "packages/core/src/routes/catalogue_position.ts",
    find: "    : left.epoch > right.epoch;",
    replace: "    : left.revision > right.revision;",
  },
  {
    point: POINT,
    name: "what a peer holds of an earlier epoch is not followed",
    file: CONTROLLER,
    find: "} else if (epoch === this.position.epoch) {",
    replace: "} else {",
  },
  {
    point: POINT,
    name: "changes are told within an epoch only",
    file: LOCAL_CATALOGUE,
    find: "return epoch === this.position.epoch\n",
    replace: "return epoch !== Infinity\n",
  },
  {
    point: POINT,
    name: "endpoints that a copy lacks are used for a while",
    file: CONTROLLER,
    find: "this.#restorePending = true;\n      this.#grace.noteRestore(now);",
    replace: "this.#restorePending = true;\n      this.#grace.noteAnswer(now);",
  },
  {
    point: POINT,
    name: "a gone endpoint that a copy brings back is withheld",
    file: `${GATEWAY}/endpoint_records.ts`,
    find: "return last !== undefined && !this.byId.has(record.id) &&",
    replace: "return last !== undefined && this.byId.has(record.id) &&",
  },
  {
    point: POINT,
    name: "a zone that a copy lacks stays evacuated",
    file: LOCAL_CATALOGUE,
    find: "after(now, EVACUATION_KEPT_MS),",
    replace: "after(now, 0 * EVACUATION_KEPT_MS),",
  },
  {
    point: POINT,
    name: "readings renew no lease until all was written again",
    file: "packages/core/src/customers/document_freshness.ts",
    find: "if (proof.at < this.#rejectProofsBefore) {",
    replace: "if (proof.at < 0 * this.#rejectProofsBefore) {",
  },
  {
    point: POINT,
    name: "a read that shows an older document than was known renews no lease",
    file: `${GATEWAY}/document_loss_detector.ts`,
    find: "if (published >= this.#knownVersion) {",
    replace: "if (published >= 0 * this.#knownVersion) {",
  },
  {
    point: POINT,
    name: "a document that the store lacks is copied from a peer",
    file: CONTROLLER,
    find: "this.#copies.request(holder.address, now);",
    replace: "void holder.address;",
  },
  {
    point: POINT,
    name: "a question's answer is not taken for another process's",
    file: `${GATEWAY}/freshness_exchange.ts`,
    find: "dependencies.random.next() * MAX_FIRST_SEQUENCE",
    replace: "dependencies.random.next() * 0 * MAX_FIRST_SEQUENCE",
  },
  {
    point: POINT,
    name: "everything is read again every minute or so",
    file: `${GATEWAY}/read_schedule.ts`,
    find: "now - this.#fullReadAt >= this.#fullReadInterval;",
    replace: "now - this.#fullReadAt === Infinity;",
  },
];
