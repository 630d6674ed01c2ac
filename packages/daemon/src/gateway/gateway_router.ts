/**
 * tRPC procedures that an entry offers to peers and operators.
 *
 * @module
 */
import type { CatalogueSnapshot } from "@sassafrasstep/core";
import { createTRPCClient, httpLink, type TRPCClient } from "@trpc/client";
import { initTRPC } from "@trpc/server";
import { z } from "zod";
import { readJson } from "../sockets/index.ts";
import { encodeSnapshot } from "./snapshot_message.ts";
import type { GatewayStatus } from "./status.ts";

/** Operations of an entry that the procedures expose. */
export interface GatewayService {
  snapshot(): CatalogueSnapshot | undefined;
  status(): GatewayStatus;
  /** Releases a quarantined request; returns `false` if the request is not quarantined. */
  release(digest: string): boolean;
}

const trpc = initTRPC.context<{ readonly service: GatewayService }>().create();

/** The digest by which logs and status identify a quarantined request. */
const digestSchema = z.string().max(64);

/** Router of all procedures. */
export const gatewayRouter = trpc.router({
  catalogue: trpc.procedure.query(({ ctx }) => {
    const snapshot = ctx.service.snapshot();
    return snapshot === undefined ? null : encodeSnapshot(snapshot);
  }),
  status: trpc.procedure.query(({ ctx }) => ctx.service.status()),
  release: trpc.procedure.input(digestSchema).mutation(({ ctx, input }) =>
    ctx.service.release(input)
  ),
});

/** Type of the router, for clients. */
export type GatewayRouter = typeof gatewayRouter;

/**
 * Creates a client for an entry's control address or peer address. `onData` is called whenever bytes of an
 * answer arrive.
 */
export function createGatewayClient(
  url: string,
  onData: () => void = () => {},
): TRPCClient<GatewayRouter> {
  return createTRPCClient<GatewayRouter>({
    links: [
      httpLink({
        url: `${url}/trpc`,
        fetch: async (input, init) => {
          const { body, ok } = await fetch(input, init as RequestInit);
          onData();
          return { ok, json: () => readJson(body ?? [], onData) };
        },
      }),
    ],
  });
}
