/**
 * A position in the history of the store. A store that comes back from an older copy gives numbers out again, under a
 * higher era. Numbers of different eras say nothing about each other.
 */

export interface Revision {
  readonly era: number
  readonly number: number
}

/** Before every revision of a store. */
export const NO_REVISION: Revision = { era: 0, number: 0 }

/** Whether `a` is earlier than `b`. Every revision of an earlier era is. */
export function isBefore (a: Revision, b: Revision): boolean {
  return a.era === b.era ? a.number < b.number : a.era < b.era
}

/** @returns undefined for a value that is not a revision, for example of another version of the software. */
export function parseRevision (value: unknown): Revision | undefined {
  const { era, number } = (value ?? {}) as Partial<Revision>
  return Number.isSafeInteger(era) && Number.isSafeInteger(number) ? { era: era!, number: number! } : undefined
}
