import { describe, expect, it } from "vitest";
import {
  AUTOMATIC_FEATURES,
  FEATURE_NAMES,
  Features,
  type FeatureSettings,
} from "../index.ts";

function featuresWith(
  settings: Partial<FeatureSettings>,
  facts = { reportsContention: false, hasCustomerLimits: false },
): Features {
  return new Features({ ...AUTOMATIC_FEATURES, ...settings }, () => facts);
}

describe("features", () => {
  describe("on auto", () => {
    it("are off where no endpoint reports contention", () => {
      const features = featuresWith({}, {
        reportsContention: false,
        hasCustomerLimits: true,
      });
      expect(features.active).toEqual([]);
    });

    it("are on where endpoints report contention and customers have limits", () => {
      const features = featuresWith({}, {
        reportsContention: true,
        hasCustomerLimits: true,
      });
      expect(features.active).toEqual(["endpointPace", "fairShares"]);
    });

    it.each(["regionAdmission", "earlyRelay"] as const)(
      "leave %s off whatever the deployment holds",
      (name) => {
        const facts = { reportsContention: true, hasCustomerLimits: true };
        expect(featuresWith({}, facts).isOn(name)).toBe(false);
        expect(featuresWith({ [name]: "on" }, facts).isOn(name)).toBe(true);
      },
    );

    it("are all on where each is set on", () => {
      const settings = Object.fromEntries(
        FEATURE_NAMES.map((name) => [name, "on"]),
      );
      expect(featuresWith(settings).active).toEqual(FEATURE_NAMES);
    });

    it("leave shares of customers off where none has a limit", () => {
      const features = featuresWith({}, {
        reportsContention: true,
        hasCustomerLimits: false,
      });
      expect(features.isOn("fairShares")).toBe(false);
      expect(features.isOn("endpointPace")).toBe(true);
    });
  });

  it("follow a setting whatever the deployment holds", () => {
    expect(featuresWith({ fairShares: "on" }).active).toEqual(["fairShares"]);
    const facts = { reportsContention: true, hasCustomerLimits: true };
    expect(featuresWith({ endpointPace: "off" }, facts).isOn("endpointPace"))
      .toBe(false);
  });
});
