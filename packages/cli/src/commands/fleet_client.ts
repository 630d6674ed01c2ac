/**
 * Queries every entry of a fleet, discovered through the first one.
 *
 * @module
 */
import {
  Credentials,
  PeerClients,
  type PeerRouter,
  type Status,
} from "@sassafrasstep/daemon";
import type { TRPCClient } from "@trpc/client";

/** Client for the control address of an entry. */
export type EntryClient = TRPCClient<PeerRouter>;

/** The answer of an entry, or the error of the query. */
export type EntryReply<Value> =
  | {
    readonly controlUrl: string;
    readonly id: string;
    readonly ok: true;
    readonly value: Value;
  }
  | {
    readonly controlUrl: string;
    readonly id: string;
    readonly ok: false;
    readonly error: string;
  };

/** Address and credentials of a fleet. */
export interface FleetAccess {
  readonly controlUrl: string;
  readonly deployment: string;
  readonly secret: string;
}

/** Client for all entries of a fleet. */
export class FleetClient {
  readonly #firstUrl: string;
  readonly #peers: PeerClients;

  constructor({ controlUrl, deployment, secret }: FleetAccess) {
    this.#firstUrl = controlUrl.replace(/\/$/, "");
    this.#peers = new PeerClients(new Credentials(secret, deployment));
  }

  /** Queries the first entry and all members it knows. If the first one fails, returns its error alone. */
  async queryAll<Value>(
    query: (client: EntryClient) => Promise<Value>,
  ): Promise<EntryReply<Value>[]> {
    const first = await this.#query(
      this.#firstUrl,
      this.#firstUrl,
      (client) => client.status.query(),
    );
    if (!first.ok) {
      return [first];
    }
    const addresses = addressesOf(first.value);
    return await Promise.all(
      addresses.map(({ id, controlUrl }) => this.#query(id, controlUrl, query)),
    );
  }

  async close(): Promise<void> {
    await this.#peers.close();
  }

  async #query<Value>(
    id: string,
    controlUrl: string,
    ask: (client: EntryClient) => Promise<Value>,
  ): Promise<EntryReply<Value>> {
    try {
      return {
        id,
        controlUrl,
        ok: true,
        value: await ask(this.#peers.at(controlUrl)),
      };
    } catch (error) {
      return { id, controlUrl, ok: false, error: (error as Error).message };
    }
  }
}

function addressesOf(status: Status): { id: string; controlUrl: string }[] {
  const { id, controlUrl, members } = status;
  return [
    { id, controlUrl },
    ...members.map((member) => ({
      id: member.id,
      controlUrl: member.controlUrl,
    })),
  ];
}
