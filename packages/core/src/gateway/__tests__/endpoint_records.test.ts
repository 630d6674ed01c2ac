import { beforeEach, describe, expect, it } from "vitest";
import {
  type EndpointId,
  type EndpointLife,
  instant,
  milliseconds,
  type ServiceId,
  type ZoneId,
} from "../../ids/index.ts";
import type { EndpointRecord } from "../../routes/index.ts";
import { EndpointRecords } from "../endpoint_records.ts";

const ID = "i-1" as EndpointId;
const ACCEPTED_AT = instant(5_000);

function record(
  sequence: number,
  { state = "ready", life }: Partial<Pick<EndpointRecord, "state">> & {
    life?: number;
  } = {},
): EndpointRecord {
  return {
    id: ID,
    service: "s" as ServiceId,
    address: "1.2.3.4:5",
    zone: "z" as ZoneId,
    softwareVersion: "v1",
    slots: 1,
    state,
    coldFor: milliseconds(0),
    leavesIn: undefined,
    life: life as EndpointLife | undefined,
    sequence,
  };
}

describe("endpoint records", () => {
  let records: EndpointRecords;
  const restore = (...found: EndpointRecord[]): void =>
    records.restore(found, { keptUntil: undefined, acceptedAt: ACCEPTED_AT });
  const stateOf = (): string | undefined => records.byId.get(ID)?.state;

  beforeEach(() => {
    records = new EndpointRecords();
    records.put(record(7));
  });

  // Guards against requests to a draining endpoint whose older record in a restored backup says that it is
  // ready.
  it("keep a record that is newer than that of a restored backup", () => {
    records.put(record(8, { state: "draining" }));
    restore(record(7));
    expect(stateOf()).toBe("draining");
  });

  // Guards against requests to a departed endpoint that reappears in a restored backup.
  describe("withhold a departed endpoint's record from a restored backup", () => {
    beforeEach(() => {
      records.remove(ID, undefined);
      restore(record(6));
      expect(records.withheldCount).toBe(1);
    });

    it("until the endpoint writes a newer one", () => {
      expect(stateOf()).toBeUndefined();
      records.put(record(8));
      expect(stateOf()).toBe("ready");
      expect(records.withheldCount).toBe(0);
    });

    it("even if the same record is read again", () => {
      records.replace([record(6)], undefined);
      expect(stateOf()).toBeUndefined();
      records.replace([record(7)], undefined);
      expect(stateOf()).toBe("ready");
    });

    it("until the platform would have removed the record", () => {
      expect(records.expire(instant(4_999))).toBe(false);
      expect(records.expire(ACCEPTED_AT)).toBe(true);
      expect(stateOf()).toBe("ready");
    });

    it("and drop it when it is removed again", () => {
      records.remove(ID, undefined);
      records.expire(ACCEPTED_AT);
      expect(stateOf()).toBeUndefined();
      expect(records.withheldCount).toBe(0);
    });

    it("but accept a record of another life", () => {
      restore(record(1, { life: 2 }));
      expect(stateOf()).toBe("ready");
    });
  });

  it("accept an unknown endpoint's record from a restored backup", () => {
    records = new EndpointRecords();
    restore(record(1));
    expect(stateOf()).toBe("ready");
  });

  it("keep a record that a restored backup lacks for a while, unpublished", () => {
    records.restore([], { keptUntil: instant(100), acceptedAt: ACCEPTED_AT });
    expect(stateOf()).toBe("ready");
    expect(records.published).toEqual([]);
    records.expire(instant(100));
    expect(stateOf()).toBeUndefined();
  });
});
