/**
 * Parses the configuration text that operators write. The result depends on the text alone, so all entries
 * accept or reject the same revision without coordination.
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
  ConfiguredCustomer,
  Deployment,
  Region,
  Service,
} from "./deployment.ts";
import { type LineFault, LineIndex, toExcerpt } from "./line_index.ts";
import {
  customerSchema,
  deploymentSchema,
  modelServiceSchema,
  nameSchema,
  plainServiceSchema,
  regionSchema,
  routeSchema,
} from "./schema.ts";

/** Burst of a customer, in seconds of its configured rate. */
const BURST_SECONDS = 1;
/** The configuration service stores values of up to 1 MiB. */
export const MAX_CONFIGURATION_BYTES = 1_048_576;

/** One fault of a configuration text, with its line counted from 1. */
export type TextFault = LineFault;

/** Either the deployment or all faults of the text. */
export type ParseResult =
  | { readonly ok: true; readonly deployment: Deployment }
  | { readonly ok: false; readonly faults: readonly TextFault[] };

/** Parses and validates a whole text. Never throws. */
export function parseConfiguration(text: string): ParseResult {
  if (Buffer.byteLength(text) > MAX_CONFIGURATION_BYTES) {
    const expected = `at most ${MAX_CONFIGURATION_BYTES} bytes`;
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
  const parser = new DeploymentParser(text);
  const deployment = parser.parse();
  const faults = [...parser.faults].sort((left, right) =>
    left.line - right.line
  );
  return deployment !== undefined && faults.length === 0
    ? { ok: true, deployment }
    : { ok: false, faults };
}

/** Collects the sections and faults of one text. */
class DeploymentParser {
  readonly faults: TextFault[];
  readonly #lines: LineIndex;
  readonly #text: string;
  readonly #regions = new Map<RegionId, Region>();
  readonly #services = new Map<ServiceId, Service>();
  readonly #customers = new Map<CustomerId, ConfiguredCustomer>();
  readonly #routes = new Map<RouteName, Route>();
  #settings: z.infer<typeof deploymentSchema> | undefined;

  constructor(text: string) {
    this.#text = text;
    this.#lines = new LineIndex(text);
    this.faults = this.#lines.faults;
  }

  parse(): Deployment | undefined {
    for (const [section, body] of parseSections(this.#text)) {
      this.#readSection(section, body);
    }
    if (this.#settings === undefined) {
      this.#reportMissingSettings();
      return undefined;
    }
    const deployment = this.#buildDeployment(this.#settings);
    const reportFault = (
      section: string,
      key: string,
      found: string,
      expected: string,
    ): void => this.#addFault(section, key, { found, expected });
    checkReferences(deployment, reportFault);
    return deployment;
  }

  #reportMissingSettings(): void {
    if (!this.faults.some((fault) => fault.section === "deployment")) {
      this.#addFault("deployment", "", {
        found: "nothing",
        expected: "a section [deployment]",
      });
    }
  }

  #buildDeployment(settings: z.infer<typeof deploymentSchema>): Deployment {
    const customerByDigest = new Map<string, ConfiguredCustomer>();
    for (const customer of this.#customers.values()) {
      customer.keyDigests.forEach((digest) =>
        customerByDigest.set(digest, customer)
      );
    }
    return {
      name: settings.name,
      objective: settings.objective,
      spillLimit: settings.spill_limit,
      loadsPerMinute: settings.loads_per_minute,
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
      this.#addFault("", section, {
        found: "a key outside any section",
        expected: "[deployment] first",
      });
      return;
    }
    if (section === "deployment") {
      this.#settings = this.#validate(deploymentSchema, section, body);
      return;
    }
    const isKnownKind = kind === "region" || kind === "service" ||
      kind === "customer" || kind === "route";
    if (
      !isKnownKind || extra.length > 0 || !nameSchema.safeParse(name).success
    ) {
      const expected =
        "deployment, region NAME, service NAME, route NAME or customer NAME";
      this.#addFault(section, "", {
        found: `section [${toExcerpt(section)}]`,
        expected,
      });
      return;
    }
    this.#readNamedSection(kind, name!, { section, body });
  }

  #readNamedSection(
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
    const parsed = this.#validate(regionSchema, section, body);
    if (parsed) {
      this.#regions.set(id, { id, zones: parsed.zones as ZoneId[] });
    }
  }

  #readService(
    id: ServiceId,
    { section, body }: { section: string; body: object },
  ): void {
    const kind = (body as { kind?: unknown }).kind;
    if (kind !== "model" && kind !== "plain") {
      this.#addFault(section, "kind", {
        found: kind === undefined ? "nothing" : toExcerpt(String(kind)),
        expected: "model or plain",
      });
      return;
    }
    const parsed = kind === "model"
      ? this.#validate(modelServiceSchema, section, body)
      : this.#validate(plainServiceSchema, section, body);
    if (!parsed) {
      return;
    }
    const base = {
      id,
      regions: parsed.regions as RegionId[],
      dependsOn: parsed.depends_on as ServiceId[],
      deadline: milliseconds(parsed.deadline_ms),
      defaultClass: parsed.class,
      queueLimit: parsed.queue_limit,
    };
    const service: Service = parsed.kind === "model"
      ? {
        ...base,
        kind: "model",
        model: parsed.model,
        pool: parsed.pool,
        share: parsed.share,
      }
      : {
        ...base,
        kind: "plain",
        repeatable: parsed.repeatable,
        notRunStatuses: parsed.not_run_statuses,
      };
    this.#services.set(id, service);
  }

  #readRoute(
    name: RouteName,
    { section, body }: { section: string; body: object },
  ): void {
    const parsed = this.#validate(routeSchema, section, body);
    if (parsed) {
      this.#routes.set(name, {
        name,
        host: parsed.host,
        pathPrefix: parsed.path,
        kind: parsed.kind,
        targets: parsed.services as unknown as Route["targets"],
        attempts: parsed.attempts,
        timeout: milliseconds(parsed.timeout_ms),
        objective: milliseconds(parsed.objective_ms),
        pauseObjective: parsed.pause_ms === undefined
          ? undefined
          : milliseconds(parsed.pause_ms),
        priority: parsed.priority,
        homes: parsed.homes as RegionId[],
        public: true,
        sticky: parsed.sticky,
        resumable: parsed.resumable,
      });
    }
  }

  #readCustomer(
    id: CustomerId,
    { section, body }: { section: string; body: object },
  ): void {
    const parsed = this.#validate(customerSchema, section, body);
    if (parsed) {
      this.#customers.set(id, {
        id,
        home: parsed.home as RegionId,
        bound: parsed.bound,
        keyDigests: parsed.token_sha256 as KeyDigest[],
        rank: undefined,
        homes: parsed.bound ? [parsed.home as RegionId] : [],
        limit: {
          unit: "requests",
          perSecond: parsed.requests_per_s,
          burst: parsed.requests_per_s * BURST_SECONDS,
          plainTokens: 0,
        },
        classes: parsed.classes,
      });
    }
  }

  #validate<Schema extends z.ZodType>(
    schema: Schema,
    section: string,
    body: object,
  ): z.infer<Schema> | undefined {
    const result = schema.safeParse(body);
    if (result.success) {
      return result.data;
    }
    for (const issue of result.error.issues) {
      this.#addIssue(section, issue, body);
    }
    return undefined;
  }

  #addIssue(section: string, issue: z.core.$ZodIssue, body: object): void {
    if (issue.code === "unrecognized_keys") {
      issue.keys.forEach((key) =>
        this.#addFault(section, key, {
          found: `unknown key "${toExcerpt(key)}"`,
          expected: "a key of this section",
        })
      );
      return;
    }
    const key = String(issue.path[0] ?? "");
    const value = (body as Record<string, unknown>)[key];
    const found = value === undefined
      ? "nothing"
      : `"${toExcerpt(String(value))}"`;
    this.#addFault(section, key, { found, expected: issue.message });
  }

  #addFault(
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
 * Parses the sections of an INI text. Dots in section names are escaped first, because the library would turn
 * `[a.b]` into an object nested in `a`, which would then be reported as an unknown key of section `a`.
 */
function parseSections(text: string): [string, unknown][] {
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

/** Formats a fault as one readable line. */
export function formatFault(fault: TextFault): string {
  const location = fault.key === ""
    ? `section "${toExcerpt(fault.section)}"`
    : `section "${toExcerpt(fault.section)}", key "${toExcerpt(fault.key)}"`;
  return `Line ${fault.line}, ${location}: found ${fault.found}, expected ${fault.expected}`;
}
