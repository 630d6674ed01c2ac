/**
 * Schemas of the messages that are decoded by hand, to check that both accept the same.
 */
import { z } from "zod";
import {
  boundedArray,
  cataloguePosition,
  endpointLife,
  holdNoticeSchema,
  nonNegativeInteger,
  number,
  shortText,
  socketAddress,
} from "../../quarantine/index.ts";

const recordSchema = z.tuple([
  shortText,
  shortText,
  nonNegativeInteger,
  shortText,
  shortText,
  socketAddress,
  socketAddress,
  z.enum(["starting", "ready", "outdated", "stopping"]),
  number,
]).transform((
  [
    id,
    incarnation,
    version,
    zone,
    region,
    callerAddress,
    peerAddress,
    state,
    weight,
  ],
) => ({
  id,
  incarnation,
  version,
  zone,
  region,
  callerAddress,
  peerAddress,
  state,
  weight,
}));
const holdingsSchema = z.tuple([nonNegativeInteger, cataloguePosition])
  .transform(
    ([document, catalogue]) => ({ document, catalogue }),
  );
const newsSchema = z.tuple([recordSchema, z.enum(["live", "suspect", "dead"])])
  .transform(
    ([record, health]) => ({ record, health }),
  );
const loadSchema = z.tuple([
  shortText,
  nonNegativeInteger,
  number,
  number,
  number,
]).transform(
  // Without endpoints there is no backlog. Its place then holds the time until there is an endpoint, which entries of
  // an earlier version ignore.
  ([service, endpoints, work, requests, backlog]) => ({
    service,
    endpoints,
    work,
    requests,
    backlog: endpoints === 0 ? 0 : backlog,
    closedFor: endpoints === 0 && backlog > 0 ? backlog : undefined,
  }),
);
const shareSchema = z.tuple([shortText, number]).transform(
  ([region, share]) => ({ region, share }),
);
const summarySchema = z.tuple([
  shortText,
  number,
  boundedArray(loadSchema),
  boundedArray(shareSchema),
]).transform(
  ([region, age, loads, shares]) => ({ region, age, loads, shares }),
);
const prefixPartSchema = z.tuple([shortText, number]).transform(
  ([id, tokens]) => ({ id, tokens }),
);
const reportSchema = z.tuple([
  z.boolean(),
  boundedArray(
    z.tuple([shortText, endpointLife, number, number, number]).transform(
      ([endpoint, life, prefill, requests, tokens]) => ({
        endpoint,
        life,
        prefill,
        requests,
        tokens,
      }),
    ),
  ),
  boundedArray(
    z.tuple([shortText, endpointLife, boundedArray(prefixPartSchema)])
      .transform(
        ([endpoint, life, parts]) => ({ endpoint, life, parts }),
      ),
  ),
  boundedArray(
    z.tuple([shortText, number, number]).transform(
      ([service, work, requests]) => ({ service, work, requests }),
    ),
  ),
  nonNegativeInteger,
]).transform(([partial, endpoints, prefixes, arrivals, picture]) => ({
  partial,
  endpoints,
  prefixes,
  arrivals,
  picture,
}));

const baseItems = [recordSchema, holdingsSchema] as const;
const probeSchema = z.tuple([
  ...baseItems,
  nonNegativeInteger,
  boundedArray(newsSchema),
  boundedArray(summarySchema),
  boundedArray(holdNoticeSchema),
]);

const customer = shortText.transform((id) => id === "" ? undefined : id);

const demandReportSchema = z.tuple([
  boundedArray(
    z.tuple([
      shortText,
      nonNegativeInteger,
      z.boolean(),
      customer,
      nonNegativeInteger,
      nonNegativeInteger,
    ]).transform(([service, rank, late, customer, requests, tokens]) => ({
      service,
      rank,
      late,
      customer,
      requests,
      tokens,
    })),
  ),
  boundedArray(
    z.tuple([shortText, customer, nonNegativeInteger, nonNegativeInteger])
      .transform(([service, customer, requests, tokens]) => ({
        service,
        customer,
        requests,
        tokens,
      })),
  ),
  boundedArray(
    z.tuple([shortText, nonNegativeInteger, nonNegativeInteger]).transform(
      ([endpoint, contention, age]) => ({ endpoint, contention, age }),
    ),
  ),
]).transform(([waiting, placed, paces]) => ({
  waiting,
  placed,
  paces,
}));

/** Schemas of the items after the kind. */
export const FREQUENT_SCHEMAS = {
  ping: probeSchema.transform((
    [from, holdings, sequence, news, regions, holds],
  ) => ({
    kind: "ping",
    from,
    holdings,
    sequence,
    news,
    regions,
    holds,
  })),
  ack: probeSchema.transform((
    [from, holdings, sequence, news, regions, holds],
  ) => ({
    kind: "ack",
    from,
    holdings,
    sequence,
    news,
    regions,
    holds,
  })),
  indirect: z.tuple([...baseItems, nonNegativeInteger, socketAddress])
    .transform(
      ([from, holdings, sequence, target]) => ({
        kind: "indirect",
        from,
        holdings,
        sequence,
        target,
      }),
    ),
  indirect_ack: z.tuple([...baseItems, nonNegativeInteger]).transform(
    ([from, holdings, sequence]) => ({
      kind: "indirect_ack",
      from,
      holdings,
      sequence,
    }),
  ),
  announce: z.tuple([...baseItems]).transform(
    ([from, holdings]) => ({ kind: "announce", from, holdings }),
  ),
  demand: z.tuple([shortText, demandReportSchema]).transform(
    ([incarnation, report]) => ({ kind: "demand", incarnation, report }),
  ),
  work: z.tuple([shortText, reportSchema]).transform(
    ([incarnation, report]) => ({ kind: "work", incarnation, report }),
  ),
} as const;
