export {
  encodeFreshnessMessage,
  encodeSpendingMessage,
  freshnessMessageSchema,
  spendingMessageSchema,
} from "./customer_schema.ts";
