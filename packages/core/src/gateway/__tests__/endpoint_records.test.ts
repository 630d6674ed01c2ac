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
const BELIEVED_AT = instant(5_000);

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

describe("records of endpoints", () => {
  let records: EndpointRecords;
  const restore = (...found: EndpointRecord[]): void =>
    records.restore(found, { keptUntil: undefined, believedAt: BELIEVED_AT });
  const stateOf = (): string | undefined => records.all.get(ID)?.state;

  beforeEach(() => {
    records = new EndpointRecords();
    records.put(record(7));
  });

  // Guards against requests to an endpoint whose leaving a copy does not know.
  it("that were written later hold against those of a copy", () => {
    records.put(record(8, { state: "draining" }));
    restore(record(7));
    expect(stateOf()).toBe("draining");
  });

  // Guards against requests to an endpoint that is gone and stands in a copy again.
  describe("of one that is gone are not believed where a copy has them", () => {
    beforeEach(() => {
      records.remove(ID, undefined);
      restore(record(6));
      expect(records.withheld).toBe(1);
    });

    it("until it writes again", () => {
      expect(stateOf()).toBeUndefined();
      records.put(record(8));
      expect(stateOf()).toBe("ready");
      expect(records.withheld).toBe(0);
    });

    it("nor where the same record is read again", () => {
      records.replace([record(6)], undefined);
      expect(stateOf()).toBeUndefined();
      records.replace([record(7)], undefined);
      expect(stateOf()).toBe("ready");
    });

    it("until the platform would have removed it", () => {
      expect(records.expire(instant(4_999))).toBe(false);
      expect(records.expire(BELIEVED_AT)).toBe(true);
      expect(stateOf()).toBe("ready");
    });

    it("and it is removed again", () => {
      records.remove(ID, undefined);
      records.expire(BELIEVED_AT);
      expect(stateOf()).toBeUndefined();
      expect(records.withheld).toBe(0);
    });

    it("but another life of it is", () => {
      restore(record(1, { life: 2 }));
      expect(stateOf()).toBe("ready");
    });
  });

  it("of one that was never known are believed", () => {
    records = new EndpointRecords();
    restore(record(1));
    expect(stateOf()).toBe("ready");
  });

  it("that a copy lacks are used for a while, and told to nobody", () => {
    records.restore([], { keptUntil: instant(100), believedAt: BELIEVED_AT });
    expect(stateOf()).toBe("ready");
    expect(records.published).toEqual([]);
    records.expire(instant(100));
    expect(stateOf()).toBeUndefined();
  });
});
