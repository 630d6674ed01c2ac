/**
 * A model of regions whose entries relay early, in virtual time: arrivals, queues, engines that prefill at a rate, and
 * outlooks that arrive late or not at all.
 *
 * @module
 */
import {
  EarlyRelay,
  instant,
  milliseconds,
  OutlookExchange,
  OwnOutlook,
  type RegionId,
  type RegionOutlook,
  RegionOutlooks,
  type ServiceFigures,
} from "../../index.ts";
import { engine, POOL, question } from "./outlook_fixture.ts";

const STEP_MS = 10;
const ONE_WAY_MS = 80;
const ENGINES = 3;
const TOKENS_PER_MS = 50;
const MAX_PENDING_TOKENS = 10_000;
const SHARE_DECAY_MS = 2_000;

/** Requests that arrive in one region during a time. */
export interface Load {
  readonly region: number;
  readonly from: number;
  readonly to: number;
  /** Prompt tokens per second, and of each request. */
  readonly tokensPerSecond: number;
  readonly tokens: number;
}

/** A request that was sent to another region. */
export interface ModelRelay {
  readonly at: number;
  readonly from: number;
  readonly to: number;
  readonly tokens: number;
  /** When the outlook of the other region was estimated, and what it told to spare. */
  readonly estimatedAt: number;
  readonly spare: number;
}

/** A network between regions. */
export interface ModelNetwork {
  /** Whether a message is lost that is sent now. */
  readonly isLost: (from: number, to: number, at: number) => boolean;
}

interface ModelEntry {
  readonly relay: EarlyRelay;
  readonly outlooks: RegionOutlooks;
  readonly exchange: OutlookExchange;
  readonly own: OwnOutlook;
}

class ModelRegion {
  readonly entries: ModelEntry[] = [];
  readonly id: RegionId;
  /** Prompt tokens that are waiting or being prefilled. */
  work = 0;
  prefillShare = 0;
  /** When requests were relayed here, with their tokens. */
  readonly onTheWay: { at: number; tokens: number }[] = [];
  readonly busyTimes: boolean[] = [];
  owed = 0;

  constructor(index: number) {
    this.id = `region ${index}` as RegionId;
  }

  figures(): ServiceFigures {
    const pendingTokens = Math.min(MAX_PENDING_TOKENS, this.work / ENGINES);
    const waiting = this.work - pendingTokens * ENGINES;
    const { prefillShare } = this;
    return {
      engines: Array.from(
        { length: ENGINES },
        () =>
          engine({ tokensPerMs: TOKENS_PER_MS, pendingTokens, prefillShare }),
      ),
      tokensAhead: () => waiting,
    };
  }

  step(): void {
    const done = Math.min(this.work, STEP_MS * TOKENS_PER_MS * ENGINES);
    const share = done / (STEP_MS * TOKENS_PER_MS * ENGINES);
    this.prefillShare += (share - this.prefillShare) * STEP_MS /
      SHARE_DECAY_MS;
    this.work -= done;
  }
}

/** Plays loads in regions with some entries each, and returns the relays. */
export function playRelays(
  loads: readonly Load[],
  { regions: count, entries, durationMs, network }: {
    regions: number;
    entries: number;
    durationMs: number;
    network: ModelNetwork;
  },
): { relays: ModelRelay[]; busy: readonly (readonly boolean[])[] } {
  const regions = Array.from(
    { length: count },
    (_, index) => new ModelRegion(index),
  );
  const messages: { at: number; run: () => void }[] = [];
  const relays: ModelRelay[] = [];
  let now = 0;
  for (const [index, region] of regions.entries()) {
    for (let entry = 0; entry < entries; entry++) {
      region.entries.push(
        createEntry(index, { entry, regions, messages, network }),
      );
    }
  }
  for (; now < durationMs; now += STEP_MS) {
    messages.filter(({ at }) => at <= now).forEach(({ run }) => run());
    messages.splice(
      0,
      messages.length,
      ...messages.filter(({ at }) => at > now),
    );
    for (const [index, region] of regions.entries()) {
      takeArrived(region, now);
      region.entries.forEach(({ exchange }) => exchange.tick(instant(now)));
      loads.filter((load) =>
        load.region === index && load.from <= now && now < load.to
      ).forEach((load) =>
        arrive(load, { region, index, regions, relays, now })
      );
      region.step();
      region.busyTimes.push(
        region.entries.some(({ own }) => own.of(POOL, instant(now)).isBusy),
      );
    }
  }
  return { relays, busy: regions.map(({ busyTimes }) => busyTimes) };
}

/** Whether a region was busy for one of its entries at some time of a period. */
export function wasBusy(
  busy: readonly boolean[],
  { from, to }: { from: number; to: number },
): boolean[] {
  return busy.slice(
    Math.max(0, Math.floor(from / STEP_MS)),
    Math.floor(to / STEP_MS) + 1,
  );
}

function createEntry(
  index: number,
  { entry, regions, messages, network }: {
    entry: number;
    regions: readonly ModelRegion[];
    messages: { at: number; run: () => void }[];
    network: ModelNetwork;
  },
): ModelEntry {
  const region = regions[index]!;
  const outlooks = new RegionOutlooks(region.id);
  const own = new OwnOutlook({
    region: region.id,
    services: () => [POOL],
    figuresOf: () => region.figures(),
    onChange: () => {},
  });
  const deliver = (
    to: ModelEntry,
    { outlook, at, delay }: {
      outlook: RegionOutlook;
      at: number;
      delay: number;
    },
  ): void => {
    messages.push({
      at: at + delay,
      run: () =>
        // Receivers learn the age from the sender, without the time on the way.
        to.exchange.receive(outlook, instant(at + delay)),
    });
  };
  const exchange = new OutlookExchange({
    own,
    outlooks,
    isWanted: () => true,
    otherRegions: regions.filter((other) => other !== region).map(({ id }) =>
      id
    ),
    isPartnerOf: () => entry < 2,
    announce: (id, outlook, at) => {
      const other = regions.findIndex((item) => item.id === id);
      if (!network.isLost(index, other, at)) {
        regions[other]!.entries.slice(0, 2).forEach((to) =>
          deliver(to, { outlook, at, delay: ONE_WAY_MS })
        );
      }
    },
    passOn: (outlook, at) => {
      region.entries.filter((to) => to.exchange !== exchange).forEach((to) =>
        deliver(to, { outlook, at, delay: 1 })
      );
    },
  });
  const relay = new EarlyRelay({ isOn: () => true, own, outlooks });
  return { relay, outlooks, exchange, own };
}

function takeArrived(region: ModelRegion, now: number): void {
  for (const { at, tokens } of [...region.onTheWay]) {
    if (at <= now) {
      region.work += tokens;
      region.onTheWay.splice(
        region.onTheWay.findIndex((item) => item.at === at),
        1,
      );
    }
  }
}

function arrive(
  { tokensPerSecond, tokens }: Load,
  { region, index, regions, relays, now }: {
    region: ModelRegion;
    index: number;
    regions: readonly ModelRegion[];
    relays: ModelRelay[];
    now: number;
  },
): void {
  region.owed += tokensPerSecond * STEP_MS / 1_000;
  while (region.owed >= tokens) {
    region.owed -= tokens;
    const entry = region.entries[relays.length % region.entries.length]!;
    const pending = Math.min(MAX_PENDING_TOKENS, region.work / ENGINES);
    const asked = question({
      promptTokens: tokens,
      uncachedTokens: tokens,
      sharedTokens: 0,
      subject: undefined,
      localWait: milliseconds(pending / TOKENS_PER_MS),
      regions: regions.filter((other) => other !== region).map(({ id }) => id),
      entries: region.entries.length,
    });
    const choice = entry.relay.choose(asked, instant(now));
    if (choice === undefined) {
      region.work += tokens;
      continue;
    }
    const to = regions.findIndex(({ id }) => id === choice.region);
    const { estimatedAt, spareTokensPerSecond } = entry.outlooks.of(
      choice.region,
      POOL,
      instant(now),
    )!;
    entry.relay.record(asked, choice, instant(now));
    regions[to]!.onTheWay.push({ at: now + ONE_WAY_MS, tokens });
    relays.push({
      at: now,
      from: index,
      to,
      tokens,
      estimatedAt,
      spare: spareTokensPerSecond,
    });
  }
}
