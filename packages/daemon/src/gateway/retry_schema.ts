/**
 * Format of the datagrams about retries that entries lend each other: arrays whose items are identified by position.
 *
 * @module
 */
import type { RetryLoanMessage } from "@sassafrasstep/core";
import { z } from "zod";
import { number, shortText } from "../quarantine/index.ts";

/** No entry has as many retries to lend. */
const MAX_AMOUNT = 10_000;
const AMOUNT_DECIMALS = 3;

/** Schema of the requests for retries, and of loans. */
export const retryLoanSchema = z.tuple([
  z.enum(["ask", "loan"]),
  shortText,
  shortText,
  number.positive().max(MAX_AMOUNT),
]).transform(([kind, from, service, amount]) => ({
  kind,
  from,
  service,
  amount,
}));

/** Encodes a message about loans as an array. */
export function encodeRetryLoan(
  { kind, from, service, amount }: RetryLoanMessage,
): unknown[] {
  return [kind, from, service, Number(amount.toFixed(AMOUNT_DECIMALS))];
}
