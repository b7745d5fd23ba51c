/**
 * The difference of two expert maps, as a lead sends it to the agents of its group.
 *
 * Load pattern: the map of a large group takes 10 KB, and each of 62 agents needs a new one every few seconds. A plan
 * changes only a few percent of the placements, and each agent already has the map that the changes apply to.
 */

import * as crypto from 'node:crypto'
import * as zlib from 'node:zlib'
import type * as rankControl from '../protocol/rank-control.js'

/**
 * A JSON array of numbers, deflated and encoded in base64. It holds triples of set, rank and expert; an expert that is
 * removed from the rank is written as `-1 - expert`.
 */
export type MapChanges = string

/** Bounds the size to which a corrupt message may decompress. */
const MAX_CHANGES_BYTES = 1024 * 1024

/** Encodes the changes that turn `before` into `after`. */
export function changesBetween (before: rankControl.ExpertMap, after: rankControl.ExpertMap): MapChanges {
  const changes: number[] = []
  after.forEach((ranks, set) => {
    ranks.forEach((experts, rank) => {
      const old = before[set]?.[rank] ?? []
      for (const expert of experts) if (!old.includes(expert)) changes.push(set, rank, expert)
      for (const expert of old) if (!experts.includes(expert)) changes.push(set, rank, -1 - expert)
    })
  })
  return zlib.deflateRawSync(JSON.stringify(changes)).toString('base64')
}

/** @returns the changed map; undefined if the changes can't be decoded or don't apply to `before`. */
export function applyChanges (before: rankControl.ExpertMap, packed: MapChanges): rankControl.ExpertMap | undefined {
  const changes = decodeChanges(packed)
  if (changes === undefined) return undefined
  const map = before.map(ranks => ranks.map(experts => [...experts]))
  for (let index = 0; index < changes.length; index += 3) {
    const experts = map[changes[index]!]?.[changes[index + 1]!]
    const expert = changes[index + 2]
    if (experts === undefined || expert === undefined) return undefined
    if (expert >= 0) experts.push(expert)
    else {
      const at = experts.indexOf(-1 - expert)
      if (at < 0) return undefined
      experts.splice(at, 1)
    }
  }
  return map.map(ranks => ranks.map(experts => experts.sort((a, b) => a - b)))
}

function decodeChanges (packed: MapChanges): number[] | undefined {
  try {
    const text = zlib.inflateRawSync(Buffer.from(packed, 'base64'), { maxOutputLength: MAX_CHANGES_BYTES })
    const changes = JSON.parse(text.toString('utf8')) as unknown
    return Array.isArray(changes) && changes.every(Number.isInteger) ? changes as number[] : undefined
  } catch {
    // The sender may run another version of the software: the caller requests the complete map.
    return undefined
  }
}

/** Digest with which two processes check that a map version stands for the same map in both. */
export function digestOf (map: rankControl.ExpertMap): string {
  return crypto.createHash('sha256').update(JSON.stringify(map)).digest('base64url').slice(0, 16)
}
