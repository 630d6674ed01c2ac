/**
 * Sends an entry's messages to the other entries of its fleet.
 *
 * @module
 */
import type { DemandReport } from "../demand/index.ts";
import { sample } from "../ids/index.ts";
import type { RegionOutlook } from "../outlook/index.ts";
import type { QuarantineUpdate } from "../quarantine/index.ts";
import type {
  EndpointPressure,
  EntryRecord,
  FleetMessage,
  FleetMessageBody,
  WorkReport,
} from "./fleet_messages.ts";
import type { FleetOptions } from "./fleet_options.ts";
import type { FleetMember } from "./membership_list.ts";

/** Members of other regions that a state change is announced to directly. */
const REMOTE_ANNOUNCEMENTS = 8;

/** Kinds of messages that don't carry the sender's full record. */
type RecordlessKind =
  | "currency"
  | "spending"
  | "limits"
  | "departures"
  | "cold"
  | "origins"
  | "outlook"
  | "census"
  | "retries";

/** The sender's record and the possible recipients. */
export interface SenderSources {
  /** This entry's current record. */
  readonly record: () => EntryRecord;
  /** Live members. */
  readonly live: () => readonly FleetMember[];
}

/** Builds outgoing messages and selects their recipients. */
export class FleetSender {
  readonly #options: FleetOptions;
  readonly #sources: SenderSources;

  constructor(options: FleetOptions, sources: SenderSources) {
    this.#options = options;
    this.#sources = sources;
  }

  /** Sends a report of this entry's work to the matching entries of its region. Returns their number. */
  sendWork(
    report: WorkReport,
    isRecipient: (record: EntryRecord) => boolean,
  ): number {
    const { region, incarnation } = this.#options.self;
    return this.#sendToMatching(
      { kind: "work", incarnation, report },
      (record) => record.region === region && isRecipient(record),
    );
  }

  /** Sends what this entry's answers need to the matching entries of its region. */
  sendPressures(
    pressures: readonly EndpointPressure[],
    isRecipient: (record: EntryRecord) => boolean,
  ): void {
    const { region, incarnation } = this.#options.self;
    this.#sendToMatching(
      { kind: "pressures", incarnation, pressures },
      (record) => record.region === region && isRecipient(record),
    );
  }

  /** Sends this entry's demand to the matching entries of its region. */
  sendDemand(
    report: DemandReport,
    isRecipient: (record: EntryRecord) => boolean,
  ): void {
    const { region, incarnation } = this.#options.self;
    this.#sendToMatching(
      { kind: "demand", incarnation, report },
      (record) => record.region === region && isRecipient(record),
    );
  }

  /** Sends the outlook of a region to the matching entries of all regions. */
  sendOutlook(
    outlook: RegionOutlook,
    isRecipient: (record: EntryRecord) => boolean,
  ): void {
    this.#sendToMatching({ kind: "outlook", outlook }, isRecipient);
  }

  /** Sends quarantine updates to the matching entries of all regions. */
  sendQuarantine(
    news: QuarantineUpdate,
    isRecipient: (record: EntryRecord) => boolean,
  ): void {
    const { incarnation } = this.#options.self;
    this.#sendToMatching(
      { kind: "quarantine", incarnation, news },
      isRecipient,
    );
  }

  /** Sends a message that doesn't carry this entry's record. */
  sendWithoutRecord(
    to: string,
    message: Extract<
      FleetMessage,
      { kind: RecordlessKind }
    >,
  ): void {
    this.#options.send(to, message);
  }

  /**
   * Announces this entry's state to its region, whose entries list it to callers, and to a random sample of
   * members in other regions.
   */
  announce(): void {
    const ownRegion = this.#options.self.region;
    const live = this.#sources.live();
    const sameRegion = live.filter(({ record }) => record.region === ownRegion);
    const otherRegions = sample(
      live.filter(({ record }) => record.region !== ownRegion),
      REMOTE_ANNOUNCEMENTS,
      this.#options.random,
    );
    for (const { record } of [...sameRegion, ...otherRegions]) {
      this.send(record.peerAddress, { kind: "announce" });
    }
  }

  /** Sends a message with this entry's record and the versions it holds. */
  send(to: string, message: FleetMessageBody): void {
    this.#options.send(
      to,
      {
        from: this.#sources.record(),
        holdings: this.#options.holdings(),
        ...message,
      } as FleetMessage,
    );
  }

  /**
   * Passes the same message object for all recipients, so that it is encoded only once. Returns the number of
   * recipients.
   */
  #sendToMatching(
    message: FleetMessage,
    isRecipient: (record: EntryRecord) => boolean,
  ): number {
    let recipients = 0;
    for (const { record } of this.#sources.live()) {
      if (isRecipient(record)) {
        this.#options.send(record.peerAddress, message);
        recipients++;
      }
    }
    return recipients;
  }
}
