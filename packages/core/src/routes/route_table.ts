/**
 * Index of routes for finding a request's route.
 *
 * @module
 */
import { CustomerDirectory } from "../customers/index.ts";
import type { Route, RoutingDocument } from "./route.ts";

/** Index of a document's routes by host and path prefix. */
export class RouteTable {
  readonly document: RoutingDocument;
  readonly customers: CustomerDirectory;
  readonly #hosts = new Map<string, Map<string, Route>>();

  constructor(document: RoutingDocument) {
    this.document = document;
    this.customers = new CustomerDirectory(document.customers);
    for (const route of document.routes) {
      const prefixes = this.#hosts.get(route.host) ?? new Map();
      prefixes.set(route.pathPrefix, route);
      this.#hosts.set(route.host, prefixes);
    }
  }

  /**
   * Returns the route with the longest matching path prefix. Prefixes end with a slash, so only the positions
   * of slashes in the path are tried, and the cost does not depend on the number of routes.
   */
  find(host: string, target: string): Route | undefined {
    const prefixes = this.#hosts.get(normalizeHost(host));
    if (prefixes === undefined) {
      return undefined;
    }
    const path = withoutQuery(target);
    let end = path.length;
    while (end > 0) {
      const slash = path.lastIndexOf("/", end - 1);
      if (slash < 0) {
        return undefined;
      }
      const route = prefixes.get(path.slice(0, slash + 1));
      if (route !== undefined) {
        return route;
      }
      end = slash;
    }
    return undefined;
  }

  /** All routes of a host. */
  routesOfHost(host: string): readonly Route[] {
    return [...this.#hosts.get(normalizeHost(host))?.values() ?? []];
  }
}

function normalizeHost(host: string): string {
  const colon = host.lastIndexOf(":");
  const bare = colon > 0 && !host.endsWith("]") ? host.slice(0, colon) : host;
  return bare.toLowerCase();
}

function withoutQuery(target: string): string {
  const queryStart = target.indexOf("?");
  return queryStart < 0 ? target : target.slice(0, queryStart);
}
