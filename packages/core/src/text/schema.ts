/**
 * Shape of each section of the operators' text.
 *
 * @module
 */
import { z } from "zod";

const NAME = /^[a-z0-9][a-z0-9-]{0,62}$/;
const DIGEST = /^[0-9a-f]{64}$/;
const MAX_LIST_LENGTH = 256;

/** A name of ours: lower-case letters, digits and hyphens. */
export const nameSchema = z.string().regex(
  NAME,
  "lower-case letters, digits and hyphens, 63 at most",
);

const list = z.string().transform((text) =>
  text.split(",").map((item) => item.trim()).filter((item) => item !== "")
)
  .refine(
    (items) => items.length <= MAX_LIST_LENGTH,
    `at most ${MAX_LIST_LENGTH} items`,
  );
const names = list.pipe(z.array(nameSchema));
const someNames = names.refine(
  (items) => items.length > 0,
  "at least one name",
);
const digests = list.pipe(
  z.array(z.string().regex(DIGEST, "64 hex digits of SHA-256")),
)
  .refine((items) => items.length > 0, "at least one digest");
const flag = z.union([z.enum(["yes", "no"]), z.boolean()]).transform((value) =>
  value === "yes" || value === true
);
const whole = (least: number, most: number): z.ZodType<number> =>
  z.string().regex(/^\d{1,9}$/, `a whole number from ${least} to ${most}`)
    .transform(Number).pipe(
      z.number().min(least).max(most),
    );
const share = z.string().regex(/^(0(\.\d+)?|1(\.0+)?)$/, "a number from 0 to 1")
  .transform(Number);
const requestClass = z.enum(["screen", "summary"]);
const statuses = list.pipe(
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
  spill_limit: share.default(0.2),
  loads_per_minute: whole(1, 10_000).default(6),
});

/** `[region NAME]` */
export const regionSchema = z.strictObject({ zones: someNames });

const serviceBase = {
  regions: someNames,
  depends_on: names.default([]),
  deadline_ms: whole(1, 3_600_000).default(15_000),
  class: requestClass.default("screen"),
  queue_limit: whole(0, 100_000).default(256),
};

/** `[service NAME]` with `kind = model` */
export const modelSchema = z.strictObject({
  kind: z.literal("model"),
  model: z.string().regex(
    /^[a-z0-9][a-z0-9.@-]{0,62}$/,
    "a model name such as guest-8b@v1",
  ),
  pool: nameSchema,
  share: whole(1, 1000).default(1),
  ...serviceBase,
});

/** `[service NAME]` with `kind = plain` */
export const plainSchema = z.strictObject({
  kind: z.literal("plain"),
  repeatable: flag.default(false),
  not_run_statuses: statuses.default([]),
  ...serviceBase,
});

const HOST = /^[a-z0-9]([a-z0-9.-]{0,251}[a-z0-9])?$/;
const PATH = /^\/([^\s?#]*\/)?$/;
const TARGET = /^([a-z0-9][a-z0-9-]{0,62})(?::(\d{1,6}))?$/;

/** `NAME` or `NAME:WEIGHT` between commas. */
const targets = list.pipe(
  z.array(
    z.string().regex(TARGET, "a service, or services with weights: pool:90")
      .transform((text) => {
        const [, service, weight] = TARGET.exec(text)!;
        return { service: service!, weight: Number(weight ?? 1) };
      }).refine(({ weight }) => weight > 0, "a weight above 0"),
  ),
).refine((items) => items.length > 0, "at least one service");

/** `[route NAME]` */
export const routeSchema = z.strictObject({
  host: z.string().regex(HOST, "a host name in lower case"),
  path: z.string().regex(PATH, "a path that begins and ends with a slash"),
  services: targets,
  kind: z.enum(["idempotent", "non_idempotent", "stream"]),
  attempts: whole(1, 16).default(1),
  timeout_ms: whole(1, 3_600_000).default(15_000),
  objective_ms: whole(1, 3_600_000).default(1_000),
  pause_ms: whole(1, 3_600_000).optional(),
  priority: whole(0, 9).default(1),
  homes: names.default([]),
  sticky: flag.default(false),
  resumable: flag.default(false),
});

/** `[customer NAME]` */
export const customerSchema = z.strictObject({
  home: nameSchema,
  bound: flag.default(true),
  token_sha256: digests,
  requests_per_s: whole(1, 1_000_000).default(50),
  classes: list.pipe(z.array(requestClass)).default(["screen", "summary"]),
});
