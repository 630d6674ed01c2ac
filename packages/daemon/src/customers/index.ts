export {
  currencyMessage,
  encodeCurrency,
  encodeSpending,
  spendingMessage,
} from "./customer_schema.ts";
