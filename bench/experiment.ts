/**
 * Interface of an experiment, which compares this version with its baselines and returns tables; and its statistics.
 */

export type Cell = string | number

export interface Table {
  title: string
  columns: string[]
  rows: Cell[][]
}

export interface ExperimentResult {
  tables: Table[]
  /** Conclusions that the figures support, one sentence each. */
  conclusions: string[]
}

export interface ExperimentContext {
  /** Seeds to run with; each figure is a median over them. Some with real processes run one round for each seed. */
  seeds: number[]
}

export interface Experiment {
  name: string
  description: string
  run: (context: ExperimentContext) => Promise<ExperimentResult>
}

export function median (values: readonly number[]): number {
  return percentile(values, 0.5)
}

/**
 * Percentile by nearest rank; NaN without values.
 *
 * @param fraction between 0 and 1.
 */
export function percentile (values: readonly number[], fraction: number): number {
  if (values.length === 0) return NaN
  const sorted = [...values].sort((a, b) => a - b)
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * fraction))]!
}

/** Formats the median with the smallest and largest value: `median (smallest to largest)`. */
export function spread (values: readonly number[], digits = 2): string {
  return `${median(values).toFixed(digits)} (${Math.min(...values).toFixed(digits)} to ${Math.max(...values).toFixed(digits)})`
}
