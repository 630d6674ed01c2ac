/**
 * Reads the operators' text. A pure function of the text, so that every entry comes to the same
 * verdict on the same revision without asking another.
 *
 * @module
 */
import { parse as parseIni } from "ini";
import type { z } from "zod";
import type {
  CustomerId,
  KeyDigest,
  RegionId,
  RouteName,
  ServiceId,
  ZoneId,
} from "../ids/index.ts";
import { milliseconds } from "../ids/index.ts";
import type { Route } from "../routes/index.ts";
import { checkReferences } from "./check_references.ts";
import type {
  Deployment,
  HomedCustomer,
  Region,
  Service,
} from "./deployment.ts";
import { clip, type LineFault, LineIndex } from "./lines.ts";
import {
  customerSchema,
  deploymentSchema,
  modelSchema,
  nameSchema,
  plainSchema,
  regionSchema,
  routeSchema,
} from "./schema.ts";

/** A customer of the text may ask for so many seconds of its rate at once. */
const BURST_SECONDS = 1;
/** The configuration service holds values up to a megabyte. */
export const MAX_TEXT_BYTES = 1_048_576;

/** One fault of a text: line from 1, section, key, what was found and what was expected. */
export type TextFault = LineFault;

/** Either a deployment or every fault of the text at once. */
export type TextResult =
  | { readonly ok: true; readonly deployment: Deployment }
  | { readonly ok: false; readonly faults: readonly TextFault[] };

/** Parses and checks a whole text. Never throws. */
export function parseText(text: string): TextResult {
  if (Buffer.byteLength(text) > MAX_TEXT_BYTES) {
    const expected = `at most ${MAX_TEXT_BYTES} bytes`;
    return {
      ok: false,
      faults: [{
        line: 1,
        section: "",
        key: "",
        found: "a larger text",
        expected,
      }],
    };
  }
  const reader = new TextReader(text);
  const deployment = reader.read();
  const faults = [...reader.faults].sort((left, right) =>
    left.line - right.line
  );
  return deployment !== undefined && faults.length === 0
    ? { ok: true, deployment }
    : { ok: false, faults };
}

/** Collects sections and faults of one text. */
class TextReader {
  readonly faults: TextFault[];
  readonly #lines: LineIndex;
  readonly #text: string;
  readonly #regions = new Map<RegionId, Region>();
  readonly #services = new Map<ServiceId, Service>();
  readonly #customers = new Map<CustomerId, HomedCustomer>();
  readonly #routes = new Map<RouteName, Route>();
  #head: z.infer<typeof deploymentSchema> | undefined;

  constructor(text: string) {
    this.#text = text;
    this.#lines = new LineIndex(text);
    this.faults = this.#lines.faults;
  }

  read(): Deployment | undefined {
    for (const [section, body] of sectionsOf(this.#text)) {
      this.#readSection(section, body);
    }
    if (this.#head === undefined) {
      this.#missingHead();
      return undefined;
    }
    const deployment = this.#build(this.#head);
    const fault = (
      section: string,
      key: string,
      found: string,
      expected: string,
    ): void => this.#fault(section, key, { found, expected });
    checkReferences(deployment, fault);
    return deployment;
  }

  #missingHead(): void {
    if (!this.faults.some((fault) => fault.section === "deployment")) {
      this.#fault("deployment", "", {
        found: "nothing",
        expected: "a section [deployment]",
      });
    }
  }

  #build(head: z.infer<typeof deploymentSchema>): Deployment {
    const customerByDigest = new Map<string, HomedCustomer>();
    for (const customer of this.#customers.values()) {
      customer.keyDigests.forEach((digest) =>
        customerByDigest.set(digest, customer)
      );
    }
    return {
      name: head.name,
      objective: head.objective,
      spillLimit: head.spill_limit,
      loadsPerMinute: head.loads_per_minute,
      regions: this.#regions,
      services: this.#services,
      customers: this.#customers,
      customerByDigest,
      routes: this.#routes,
    };
  }

  #readSection(section: string, body: unknown): void {
    const [kind, name, ...extra] = section.split(/\s+/);
    if (typeof body !== "object" || body === null || Array.isArray(body)) {
      this.#fault("", section, {
        found: "a key outside any section",
        expected: "[deployment] first",
      });
      return;
    }
    if (section === "deployment") {
      this.#head = this.#check(deploymentSchema, section, body);
      return;
    }
    const known = kind === "region" || kind === "service" ||
      kind === "customer" || kind === "route";
    if (!known || extra.length > 0 || !nameSchema.safeParse(name).success) {
      const expected =
        "deployment, region NAME, service NAME, route NAME or customer NAME";
      this.#fault(section, "", {
        found: `section [${clip(section)}]`,
        expected,
      });
      return;
    }
    this.#readNamed(kind, name!, { section, body });
  }

  #readNamed(
    kind: "region" | "service" | "customer" | "route",
    name: string,
    { section, body }: { section: string; body: object },
  ): void {
    if (kind === "region") {
      this.#readRegion(name as RegionId, { section, body });
    } else if (kind === "service") {
      this.#readService(name as ServiceId, { section, body });
    } else if (kind === "route") {
      this.#readRoute(name as RouteName, { section, body });
    } else {
      this.#readCustomer(name as CustomerId, { section, body });
    }
  }

  #readRegion(
    id: RegionId,
    { section, body }: { section: string; body: object },
  ): void {
    const found = this.#check(regionSchema, section, body);
    if (found) {
      this.#regions.set(id, { id, zones: found.zones as ZoneId[] });
    }
  }

  #readService(
    id: ServiceId,
    { section, body }: { section: string; body: object },
  ): void {
    const kind = (body as { kind?: unknown }).kind;
    if (kind !== "model" && kind !== "plain") {
      this.#fault(section, "kind", {
        found: kind === undefined ? "nothing" : clip(String(kind)),
        expected: "model or plain",
      });
      return;
    }
    const found = kind === "model"
      ? this.#check(modelSchema, section, body)
      : this.#check(plainSchema, section, body);
    if (!found) {
      return;
    }
    const base = {
      id,
      regions: found.regions as RegionId[],
      dependsOn: found.depends_on as ServiceId[],
      deadline: milliseconds(found.deadline_ms),
      defaultClass: found.class,
      queueLimit: found.queue_limit,
    };
    const service: Service = found.kind === "model"
      ? {
        ...base,
        kind: "model",
        model: found.model,
        pool: found.pool,
        share: found.share,
      }
      : {
        ...base,
        kind: "plain",
        repeatable: found.repeatable,
        notRunStatuses: found.not_run_statuses,
      };
    this.#services.set(id, service);
  }

  #readRoute(
    name: RouteName,
    { section, body }: { section: string; body: object },
  ): void {
    const found = this.#check(routeSchema, section, body);
    if (found) {
      this.#routes.set(name, {
        name,
        host: found.host,
        pathPrefix: found.path,
        kind: found.kind,
        targets: found.services as unknown as Route["targets"],
        attempts: found.attempts,
        timeout: milliseconds(found.timeout_ms),
        objective: milliseconds(found.objective_ms),
        pauseObjective: found.pause_ms === undefined
          ? undefined
          : milliseconds(found.pause_ms),
        priority: found.priority,
        homes: found.homes as RegionId[],
        public: true,
        sticky: found.sticky,
        resumable: found.resumable,
      });
    }
  }

  #readCustomer(
    id: CustomerId,
    { section, body }: { section: string; body: object },
  ): void {
    const found = this.#check(customerSchema, section, body);
    if (found) {
      this.#customers.set(id, {
        id,
        home: found.home as RegionId,
        bound: found.bound,
        keyDigests: found.token_sha256 as KeyDigest[],
        rank: undefined,
        homes: found.bound ? [found.home as RegionId] : [],
        limit: {
          unit: "requests",
          perSecond: found.requests_per_s,
          burst: found.requests_per_s * BURST_SECONDS,
          plainTokens: 0,
        },
        classes: found.classes,
      });
    }
  }

  #check<Schema extends z.ZodType>(
    schema: Schema,
    section: string,
    body: object,
  ): z.infer<Schema> | undefined {
    const result = schema.safeParse(body);
    if (result.success) {
      return result.data;
    }
    for (const issue of result.error.issues) {
      this.#issue(section, issue, body);
    }
    return undefined;
  }

  #issue(section: string, issue: z.core.$ZodIssue, body: object): void {
    if (issue.code === "unrecognized_keys") {
      issue.keys.forEach((key) =>
        this.#fault(section, key, {
          found: `unknown key "${clip(key)}"`,
          expected: "a key of this section",
        })
      );
      return;
    }
    const key = String(issue.path[0] ?? "");
    const value = (body as Record<string, unknown>)[key];
    const found = value === undefined ? "nothing" : `"${clip(String(value))}"`;
    this.#fault(section, key, { found, expected: issue.message });
  }

  #fault(
    section: string,
    key: string,
    { found, expected }: { found: string; expected: string },
  ): void {
    this.faults.push({
      line: this.#lines.lineOf(section, key),
      section,
      key,
      found,
      expected,
    });
  }
}

/**
 * Sections as the library reads them, with a dotted name put together again: the library turns
 * `[a.b]` into an object inside an object, which would read as an unknown key of section `a`.
 */
function sectionsOf(text: string): [string, unknown][] {
  const escaped = text.replace(
    /^\s*\[.*$/gm,
    (header) => header.replace(/\\?\./g, "\\."),
  );
  try {
    return Object.entries(parseIni(escaped));
  } catch {
    return [];
  }
}

/** One fault as a line for a person. */
export function formatFault(fault: TextFault): string {
  const place = fault.key === ""
    ? `section "${clip(fault.section)}"`
    : `section "${clip(fault.section)}", key "${clip(fault.key)}"`;
  return `Line ${fault.line}, ${place}: found ${fault.found}, expected ${fault.expected}`;
}
