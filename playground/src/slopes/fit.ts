/**
 * Linear regression over measured points.
 *
 * @module
 */

/** A value measured at one size. */
export interface Point {
  readonly size: number;
  readonly value: number;
}

/** `value = base + slope * size`, and the largest residual as a share of the largest value. */
export interface LineFit {
  readonly base: number;
  readonly slope: number;
  readonly largestResidualShare: number;
}

/** Fits a line through the points by least squares. */
export function fitLine(points: readonly Point[]): LineFit {
  const count = points.length;
  const meanSize = points.reduce((sum, { size }) => sum + size, 0) / count;
  const meanValue = points.reduce((sum, { value }) => sum + value, 0) / count;
  let covariance = 0;
  let variance = 0;
  for (const { size, value } of points) {
    covariance += (size - meanSize) * (value - meanValue);
    variance += (size - meanSize) ** 2;
  }
  const slope = variance === 0 ? 0 : covariance / variance;
  const base = meanValue - slope * meanSize;
  const largestValue = Math.max(...points.map(({ value }) => Math.abs(value)));
  const largestResidual = Math.max(
    ...points.map(({ size, value }) => Math.abs(value - base - slope * size)),
  );
  return {
    base,
    slope,
    largestResidualShare: largestValue === 0
      ? 0
      : largestResidual / largestValue,
  };
}

/** Returns the fitted value at a size. */
export function valueAt({ base, slope }: LineFit, size: number): number {
  return base + slope * size;
}

/** Returns the median, which suppresses the noise of a shared machine in repeated measurements. */
export function median(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
}
