/**
 * Differences between two JSON documents.
 */

export interface Difference {
  /** Keys from the root, with dots. */
  path: string
  /** Undefined when the value is absent. */
  before: unknown
  after: unknown
}

export function diffDocuments (before: unknown, after: unknown, path = ''): Difference[] {
  if (isRecord(before) && isRecord(after)) {
    return [...new Set([...Object.keys(before), ...Object.keys(after)])].sort()
      .flatMap(key => diffDocuments(before[key], after[key], path === '' ? key : `${path}.${key}`))
  }
  return JSON.stringify(before) === JSON.stringify(after) ? [] : [{ path, before, after }]
}

function isRecord (value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}
