import { describe, expect, it } from "vitest";
import { Favours } from "../favours.ts";

describe("pings for others", () => {
  it("are answered for once", () => {
    const favours = new Favours();
    favours.add(7, { to: "a:1", sequence: 3 });
    expect(favours.take(7)).toEqual({ to: "a:1", sequence: 3 });
    expect(favours.take(7)).toBeUndefined();
  });

  it("are forgotten oldest first, so that dead targets fill no memory", () => {
    const favours = new Favours();
    for (let sequence = 1; sequence <= 65; sequence++) {
      favours.add(sequence, { to: "a:1", sequence });
    }
    expect(favours.take(1)).toBeUndefined();
    expect(favours.take(2)).toBeDefined();
    expect(favours.take(65)).toBeDefined();
  });
});
