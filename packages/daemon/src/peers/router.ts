/**
 * The tRPC router for peers and operators on the control address.
 *
 * @module
 */
import type {
  ConfigurationCopy,
  DecisionStep,
  Heartbeat,
  HeartbeatReply,
  KeyHandOver,
  OutcomeCopy,
  QuarantineUpdate,
  RequestId,
  Revision,
} from "@sassafrasstep/core";
import { initTRPC, TRPCError } from "@trpc/server";
import type { MetricsReport, Status } from "../control/report.ts";
import { quarantineNewsTextSchema } from "../quarantine/index.ts";
import {
  handOverSchema,
  heartbeatSchema,
  outcomeCopySchema,
  requestIdSchema,
  revisionSchema,
} from "./schemas.ts";
import { encodeHeartbeatReply } from "./heartbeat_encoding.ts";

/** Operations of an entry that peers and operators can call. */
export interface PeerService {
  readonly deployment: string;
  heartbeat(heartbeat: Heartbeat): HeartbeatReply;
  configuration(have: Revision): ConfigurationCopy | undefined;
  outcome(copy: OutcomeCopy): void;
  handOver(handOver: KeyHandOver): boolean;
  quarantine(news: QuarantineUpdate): void;
  status(): Status;
  explain(request: RequestId): readonly DecisionStep[] | undefined;
  metrics(): MetricsReport;
}

/** Context of each call. */
export interface PeerContext {
  readonly service: PeerService;
  /** Whether the caller proved that it knows the deployment's secret. */
  readonly proved: boolean;
}

const trpc = initTRPC.context<PeerContext>().create();

const peerProcedure = trpc.procedure.use(({ ctx, next }) => {
  if (!ctx.proved) {
    throw new TRPCError({
      code: "UNAUTHORIZED",
      message: "Cannot take the call: no proof of the deployment's secret",
    });
  }
  return next();
});

/** Router with all procedures. */
export const peerRouter = trpc.router({
  heartbeat: peerProcedure.input(heartbeatSchema).mutation(({ ctx, input }) => {
    if (input.deployment !== ctx.service.deployment) {
      throw new TRPCError({
        code: "FORBIDDEN",
        message: `Cannot take a heartbeat of deployment "${input.deployment}"`,
      });
    }
    return encodeHeartbeatReply(ctx.service.heartbeat(input));
  }),
  configuration: peerProcedure.input(revisionSchema).query(({ ctx, input }) =>
    ctx.service.configuration(input) ?? null
  ),
  outcome: peerProcedure.input(outcomeCopySchema).mutation(({ ctx, input }) =>
    ctx.service.outcome(input)
  ),
  handOver: peerProcedure.input(handOverSchema).mutation(({ ctx, input }) =>
    ctx.service.handOver(input)
  ),
  quarantine: peerProcedure.input(quarantineNewsTextSchema).mutation((
    { ctx, input },
  ) => ctx.service.quarantine(input)),
  status: peerProcedure.query(({ ctx }) => ctx.service.status()),
  explain: peerProcedure.input(requestIdSchema).query(({ ctx, input }) =>
    ctx.service.explain(input as RequestId) ?? null
  ),
  metrics: peerProcedure.query(({ ctx }) => ctx.service.metrics()),
});

/** Type of the router, from which clients infer their types. */
export type PeerRouter = typeof peerRouter;
