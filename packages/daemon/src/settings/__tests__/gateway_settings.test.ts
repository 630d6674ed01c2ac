import { AUTOMATIC_FEATURES } from "@sassafrasstep/core";
import { describe, expect, it } from "vitest";
import { parseGatewaySettings } from "../index.ts";

const TEXT = `
[entry]
id = front-a-1
zone = a-1
region = a
processor_share = 0.5
cores = 2

[addresses]
callers = 10.1.0.1:80
readiness = 10.1.0.1:81
directory = 10.1.0.1:82
control = 10.1.0.1:83
peers = 10.1.0.1:90

[peers]
seeds = 10.1.0.1:83,10.2.0.1:83

[zones]
a-1 = a
b-1 = b

[store]
address = 10.9.0.1:70

[bounds]
repeat_ratio = 0.25
stop_s = 6
`;

function faults(text: string): string[] {
  const result = parseGatewaySettings(text);
  return result.ok
    ? []
    : result.faults.map(({ section, key, found, expected }) =>
      `${section}.${key}: ${found}, ${expected}`
    );
}

describe("gateway settings", () => {
  it("resolve a complete file", () => {
    const result = parseGatewaySettings(TEXT);
    expect(result.ok).toBe(true);
    if (result.ok) {
      const { self, storeAddress } = result.settings;
      expect(self.weight).toBe(1);
      expect(self.seeds).toEqual(["10.1.0.1:90", "10.2.0.1:90"]);
      expect(self.regionByZone.get("b-1" as never)).toBe("b");
      expect(self.bounds.retryRatio).toBe(0.25);
      expect(self.bounds.stopTime).toBe(6_000);
      expect(self.bounds.listLifetime).toBe(5_000);
      expect(storeAddress).toBe("10.9.0.1:70");
    }
  });

  // Guards against a deployment whose entries do not start. A template renders an empty value for a number
  // that the deployment does not define, and empty values counted as faulty.
  it("use the default for an empty value", () => {
    const result = parseGatewaySettings(
      TEXT.replace("stop_s = 6", "stop_s = ").replace("cores = 2", "cores ="),
    );
    expect(result.ok && result.settings.self.bounds.stopTime).toBe(8_000);
    expect(result.ok && result.settings.self.weight).toBe(0.5);
  });

  it("leave optional decisions to what the deployment holds, unless they are set", () => {
    const featuresOf = (text: string): unknown => {
      const result = parseGatewaySettings(text);
      return result.ok && result.settings.self.features;
    };
    expect(featuresOf(TEXT)).toEqual(AUTOMATIC_FEATURES);
    const text = `${TEXT}\n[features]\nendpoint_pace = off\nfair_shares =\n`;
    expect(featuresOf(text)).toEqual({
      ...AUTOMATIC_FEATURES,
      endpointPace: "off",
    });
  });

  // Guards against a deployment whose entries do not start because of faulty settings. A VM's share of a core
  // was 0.48600000000000004, and numbers were validated by their digits.
  it.each([
    ["0.48600000000000004", 0.48600000000000004],
    ["1e-3", 0.001],
    ["2", 2],
  ])("accept the number %s", (text, value) => {
    const result = parseGatewaySettings(
      TEXT.replace(
        "repeat_ratio = 0.25",
        `repeat_ratio = 0.25\ncold_slack = ${text}`,
      ),
    );
    expect(result.ok && result.settings.self.bounds.coldSlack).toBe(value);
  });

  it.each([
    ["stop_s = 6", "stop_s = soon", "bounds.stop_s", '"soon"'],
    [
      "callers = 10.1.0.1:80",
      "callers = nowhere",
      "addresses.callers",
      '"nowhere"',
    ],
    [
      "peers = 10.1.0.1:90",
      "peers = 10.1.0.1:99999",
      "addresses.peers",
      "a port up to",
    ],
    ["region = a\n", "", "entry.region", "nothing"],
    ["repeat_ratio", "repeat_ration", "bounds.repeat_ration", "unknown name"],
    ["[store]", "[stores]", "store", "unknown name"],
    // Entries send to these addresses, and sockets throw for ports out of range.
    ["peers = 10.1.0.1:90", "peers = 10.1.0.1:0", "addresses.peers", "port"],
    [
      "callers = 10.1.0.1:80",
      "callers = 10.1.0.1:80800",
      "addresses.callers",
      "port",
    ],
    ["10.9.0.1:70", "10.9.0.1:0", "store.address", "port"],
    ["10.9.0.1:70", "10.9.0.1/x:70", "store.address", "host name"],
    [
      "seeds = 10.1.0.1:83",
      "seeds = 10.1.0.1",
      "peers.seeds",
      "host:port",
    ],
    [
      "seeds = 10.1.0.1:83",
      "seeds = 10.1.0.1:83000",
      "peers.seeds",
      "host:port",
    ],
    [
      "[store]",
      "[features]\nfair_shares = maybe\n[store]",
      "features.fair_shares",
      '"maybe"',
    ],
    [
      "[store]",
      "[features]\nfair_share = on\n[store]",
      "features.fair_share",
      "unknown name",
    ],
  ])("report the fault if %s is replaced by %s", (from, to, place, word) => {
    const found = faults(TEXT.replace(from, to)).join("\n");
    expect(found).toContain(place);
    expect(found).toContain(word);
  });
});
