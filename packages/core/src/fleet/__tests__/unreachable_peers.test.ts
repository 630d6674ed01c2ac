import { describe, expect, it } from "vitest";
import { type Incarnation, instant } from "../../index.ts";
import type { MemberHealth } from "../fleet_messages.ts";
import { UnreachablePeers } from "../unreachable_peers.ts";
import type { FleetMember } from "../membership_list.ts";

function member(name: string, health: MemberHealth): FleetMember {
  return {
    record: {
      incarnation: name as Incarnation,
      peerAddress: `${name}:1`,
    } as FleetMember["record"],
    health,
    since: instant(0),
    heardAt: instant(0),
  };
}

describe("unreachable addresses", () => {
  const next = (peers: UnreachablePeers, members: FleetMember[]): string[] =>
    peers.next(members).map(({ address }) => address);

  it("include seeds that were not heard, but not the own address", () => {
    const peers = new UnreachablePeers("a:1", ["a:1", "b:1", "c:1"]);
    expect(next(peers, [member("c", "live")])).toEqual(["b:1"]);
  });

  it("include those of dead members, with the member", () => {
    const peers = new UnreachablePeers("a:1", []);
    const dead = member("d", "dead");
    expect(peers.next([dead, member("s", "suspect")])).toEqual([
      { address: "d:1", member: dead },
    ]);
  });

  it("exclude addresses at which a new incarnation is live", () => {
    const peers = new UnreachablePeers("a:1", ["d:1"]);
    const reborn = {
      ...member("d2", "live"),
      record: { ...member("d2", "live").record, peerAddress: "d:1" },
    };
    expect(next(peers, [member("d", "dead"), reborn])).toEqual([]);
  });

  it("are returned in turn, two at a time", () => {
    const peers = new UnreachablePeers("a:1", ["b:1", "c:1", "d:1"]);
    expect(next(peers, [])).toEqual(["b:1", "c:1"]);
    expect(next(peers, [])).toEqual(["d:1", "b:1"]);
  });
});
