/**
 * Format in which entries copy the catalogue from each other: the answer of the tRPC procedure `catalogue`.
 *
 * Client and server of this procedure are written out here. Each entry copies the catalogue when it starts, and loading
 * the libraries for procedures would delay that.
 *
 * @module
 */
import type {
  CatalogueSnapshot,
  Customer,
  RoutedService,
  RoutingDocument,
} from "@sassafrasstep/core";
import { z } from "zod";
import { createConnector, ResetAwareClient } from "../clients/index.ts";
import { readJson } from "../sockets/index.ts";
import { endpointRecordSchema, snapshotSchema } from "./snapshot_schema.ts";

/** Path of the procedure. */
export const CATALOGUE_PATH = "/trpc/catalogue";
/** Callers limit how long a copy may take. */
const CONNECT_TIMEOUT_MS = 10_000;
const OK = 200;
const answerSchema = z.object({ result: z.object({ data: z.unknown() }) });

/** A catalogue snapshot as JSON, with maps converted to arrays. */
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

/** Encodes a snapshot for a peer. */
export function encodeSnapshot(snapshot: CatalogueSnapshot): SnapshotMessage {
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

/**
 * Decodes a snapshot received from a peer, without records of endpoints that are not valid.
 *
 * @throws {z.ZodError} if it is not one.
 */
export function decodeSnapshot(data: unknown): CatalogueSnapshot {
  const message = snapshotSchema.parse(data) as unknown as SnapshotMessage;
  const { document, endpoints } = message;
  return {
    ...message,
    endpoints: endpoints.filter((record) =>
      endpointRecordSchema.safeParse(record).success
    ),
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

/** The procedure's answer as JSON text. */
export function formatCatalogueAnswer(
  snapshot: CatalogueSnapshot | undefined,
): string {
  const data = snapshot === undefined ? null : encodeSnapshot(snapshot);
  return JSON.stringify({ result: { data } });
}

/** Copies the catalogue of the peer at an address; `undefined` if it has none. */
export async function copyCatalogue(
  address: string,
  { signal, onData }: {
    signal: AbortSignal;
    /** Called whenever bytes of the answer arrive. */
    onData: () => void;
  },
): Promise<CatalogueSnapshot | undefined> {
  const client = new ResetAwareClient(`http://${address}`, {
    connect: createConnector(CONNECT_TIMEOUT_MS),
  });
  try {
    const { statusCode, body } = await client.request({
      path: CATALOGUE_PATH,
      method: "GET",
      signal,
    });
    onData();
    if (statusCode !== OK) {
      throw new Error(`Cannot copy catalogue: status "${statusCode}"`);
    }
    const { result } = answerSchema.parse(await readJson(body, onData));
    return result.data === null ? undefined : decodeSnapshot(result.data);
  } finally {
    await client.destroy();
  }
}
