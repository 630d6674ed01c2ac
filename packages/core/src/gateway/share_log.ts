/**
 * Log lines about customers that share endpoints.
 *
 * @module
 */
import type { FairShares } from "../fair_shares/index.ts";
import type { Instant } from "../ids/index.ts";
import { LogThrottle } from "./log_throttle.ts";
import type { GatewayEmit } from "./messages.ts";

/** Logs now and then that requests are ordered by their customers' shares, and how many customers are over theirs. */
export class ShareLog {
  readonly #shares: FairShares;
  readonly #emit: GatewayEmit;
  readonly #throttle = new LogThrottle();

  constructor(
    { shares, emit }: { shares: FairShares; emit: GatewayEmit },
  ) {
    this.#shares = shares;
    this.#emit = emit;
  }

  tick(now: Instant): void {
    const over = this.#shares.overShare(now);
    if (over > 0 && this.#throttle.add(now) > 0) {
      const { yielded } = this.#shares;
      this.#emit({
        kind: "log",
        part: "region",
        text: "Customers over their share wait for others.",
        fields: { customers: over, yielded },
      });
    }
  }
}
