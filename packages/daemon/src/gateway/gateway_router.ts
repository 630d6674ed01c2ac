/**
 * What an entry answers to peers and operators over tRPC.
 *
 * @module
 */
import type {
  CatalogueSnapshot,
  Customer,
  RoutedService,
  RoutingDocument,
} from "@sassafrasstep/core";
import { createTRPCClient, httpLink, type TRPCClient } from "@trpc/client";
import { initTRPC } from "@trpc/server";
import { z } from "zod";
import { readJson } from "../sockets/index.ts";
import type { GatewayStatus } from "./status.ts";

/** The entry, as seen by its peers and operators. */
export interface GatewayService {
  snapshot(): CatalogueSnapshot | undefined;
  status(): GatewayStatus;
  /** Ends the hold of a request; `false` where it is not held. */
  release(digest: string): boolean;
}

const trpc = initTRPC.context<{ readonly service: GatewayService }>().create();

/** As lines and status name a held request. */
const digest = z.string().max(64);

/** All procedures. */
export const gatewayRouter = trpc.router({
  catalogue: trpc.procedure.query(({ ctx }) => {
    const snapshot = ctx.service.snapshot();
    return snapshot === undefined ? null : encodeSnapshot(snapshot);
  }),
  status: trpc.procedure.query(({ ctx }) => ctx.service.status()),
  release: trpc.procedure.input(digest).mutation(({ ctx, input }) =>
    ctx.service.release(input)
  ),
});

/** Type of the procedures, for clients. */
export type GatewayRouter = typeof gatewayRouter;

/**
 * A client of an entry's control address, or of its address for peers. `heard` is called whenever bytes of
 * an answer have come.
 */
export function createGatewayClient(
  url: string,
  heard: () => void = () => {},
): TRPCClient<GatewayRouter> {
  return createTRPCClient<GatewayRouter>({
    links: [
      httpLink({
        url: `${url}/trpc`,
        fetch: async (input, init) => {
          const { body, ok } = await fetch(input, init as RequestInit);
          heard();
          return { ok, json: () => readJson(body ?? [], heard) };
        },
      }),
    ],
  });
}

/** A snapshot as JSON: maps as lists. */
export type SnapshotMessage =
  & Omit<CatalogueSnapshot, "document">
  & {
    readonly document:
      | Omit<RoutingDocument, "services" | "customers">
        & {
          readonly services: readonly RoutedService[];
          readonly customers: readonly Customer[];
        }
      | undefined;
  };

function encodeSnapshot(snapshot: CatalogueSnapshot): SnapshotMessage {
  const { document } = snapshot;
  return {
    ...snapshot,
    document: document === undefined ? undefined : {
      ...document,
      services: [...document.services.values()],
      customers: [...document.customers.values()],
    },
  };
}

/** The snapshot that a peer sent. */
export function decodeSnapshot(message: SnapshotMessage): CatalogueSnapshot {
  const { document } = message;
  return {
    ...message,
    document: document === undefined ? undefined : {
      ...document,
      services: new Map(
        document.services.map((service) => [service.id, service]),
      ),
      customers: new Map(
        document.customers.map((customer) => [customer.id, customer]),
      ),
    },
  };
}
