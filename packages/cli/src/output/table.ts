/**
 * Formats tables as plain text.
 *
 * @module
 */

const GAP = "  ";

/** Formats rows under a heading. Each column is as wide as its widest cell. */
export function formatTable(
  heading: readonly string[],
  rows: readonly (readonly unknown[])[],
): string {
  const cells = [heading, ...rows].map((row) =>
    row.map((cell) => String(cell ?? ""))
  );
  const widths = heading.map((_, column) =>
    Math.max(...cells.map((row) => row[column]!.length))
  );
  return cells.map((row) =>
    row.map((cell, column) => cell.padEnd(widths[column]!)).join(GAP).trimEnd()
  ).join("\n");
}
