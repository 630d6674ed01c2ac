/**
 * Schemas of the sections of a configuration text.
 *
 * @module
 */
import { z } from "zod";

const NAME_PATTERN = /^[a-z0-9][a-z0-9-]{0,62}$/;
const DIGEST_PATTERN = /^[0-9a-f]{64}$/;
const MAX_LIST_LENGTH = 256;

/** Names that operators choose: lower-case letters, digits and hyphens. */
export const nameSchema = z.string().regex(
  NAME_PATTERN,
  "lower-case letters, digits and hyphens, 63 at most",
);

const commaSeparated = z.string().transform((text) =>
  text.split(",").map((item) => item.trim()).filter((item) => item !== "")
)
  .refine(
    (items) => items.length <= MAX_LIST_LENGTH,
    `at most ${MAX_LIST_LENGTH} items`,
  );
const names = commaSeparated.pipe(z.array(nameSchema));
const nonEmptyNames = names.refine(
  (items) => items.length > 0,
  "at least one name",
);
const digests = commaSeparated.pipe(
  z.array(z.string().regex(DIGEST_PATTERN, "64 hex digits of SHA-256")),
)
  .refine((items) => items.length > 0, "at least one digest");
const yesNo = z.union([z.enum(["yes", "no"]), z.boolean()]).transform((value) =>
  value === "yes" || value === true
);
const integer = (min: number, max: number): z.ZodType<number> =>
  z.string().regex(/^\d{1,9}$/, `a whole number from ${min} to ${max}`)
    .transform(Number).pipe(
      z.number().min(min).max(max),
    );
const fraction = z.string().regex(
  /^(0(\.\d+)?|1(\.0+)?)$/,
  "a number from 0 to 1",
)
  .transform(Number);
const requestClass = z.enum(["screen", "summary"]);
const statuses = commaSeparated.pipe(
  z.array(
    z.string().regex(/^[45]\d\d$/, "statuses from 400 to 599").transform(
      Number,
    ),
  ),
);

/** `[deployment]` */
export const deploymentSchema = z.strictObject({
  name: nameSchema,
  objective: z.enum(["tail", "cost"]),
  spill_limit: fraction.default(0.2),
  loads_per_minute: integer(1, 10_000).default(6),
});

/** `[region NAME]` */
export const regionSchema = z.strictObject({ zones: nonEmptyNames });

const serviceBase = {
  regions: nonEmptyNames,
  depends_on: names.default([]),
  deadline_ms: integer(1, 3_600_000).default(15_000),
  class: requestClass.default("screen"),
  queue_limit: integer(0, 100_000).default(256),
};

/** `[service NAME]` with `kind = model` */
export const modelServiceSchema = z.strictObject({
  kind: z.literal("model"),
  model: z.string().regex(
    /^[a-z0-9][a-z0-9.@-]{0,62}$/,
    "a model name such as guest-8b@v1",
  ),
  pool: nameSchema,
  share: integer(1, 1000).default(1),
  ...serviceBase,
});

/** `[service NAME]` with `kind = plain` */
export const plainServiceSchema = z.strictObject({
  kind: z.literal("plain"),
  repeatable: yesNo.default(false),
  not_run_statuses: statuses.default([]),
  ...serviceBase,
});

const HOST_PATTERN = /^[a-z0-9]([a-z0-9.-]{0,251}[a-z0-9])?$/;
const PATH_PATTERN = /^\/([^\s?#]*\/)?$/;
const TARGET_PATTERN = /^([a-z0-9][a-z0-9-]{0,62})(?::(\d{1,6}))?$/;

/** A comma-separated list of `NAME` or `NAME:WEIGHT`. */
const targets = commaSeparated.pipe(
  z.array(
    z.string().regex(
      TARGET_PATTERN,
      "a service, or services with weights: pool:90",
    )
      .transform((text) => {
        const [, service, weight] = TARGET_PATTERN.exec(text)!;
        return { service: service!, weight: Number(weight ?? 1) };
      }).refine(({ weight }) => weight > 0, "a weight above 0"),
  ),
).refine((items) => items.length > 0, "at least one service");

/** `[route NAME]` */
export const routeSchema = z.strictObject({
  host: z.string().regex(HOST_PATTERN, "a host name in lower case"),
  path: z.string().regex(
    PATH_PATTERN,
    "a path that begins and ends with a slash",
  ),
  services: targets,
  kind: z.enum(["idempotent", "non_idempotent", "stream"]),
  attempts: integer(1, 16).default(1),
  timeout_ms: integer(1, 3_600_000).default(15_000),
  objective_ms: integer(1, 3_600_000).default(1_000),
  pause_ms: integer(1, 3_600_000).optional(),
  priority: integer(0, 9).default(1),
  homes: names.default([]),
  sticky: yesNo.default(false),
  resumable: yesNo.default(false),
});

/** `[customer NAME]` */
export const customerSchema = z.strictObject({
  home: nameSchema,
  bound: yesNo.default(true),
  token_sha256: digests,
  requests_per_s: integer(1, 1_000_000).default(50),
  classes: commaSeparated.pipe(z.array(requestClass)).default([
    "screen",
    "summary",
  ]),
});
