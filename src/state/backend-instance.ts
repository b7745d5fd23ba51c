/**
 * Identifies one incarnation of a backend server.
 */

export interface InstanceId {
  id: string
  /** Unix time of its start in ms; a new value under the same id means a new incarnation. */
  startedAtUnixMs: number
}

/** @returns a key for maps. */
export function keyOf ({ id, startedAtUnixMs }: InstanceId): string {
  return `${id} ${startedAtUnixMs}`
}
