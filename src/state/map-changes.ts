/**
 * The difference of two expert maps, as a lead sends it to the agents of its group.
 *
 * Load pattern: the map of a large group takes 10 KB, and each of 62 agents needs a new one every few seconds. A plan
 * changes a few places in a hundred, and each agent has the map that it starts from.
 */

import * as crypto from 'node:crypto'
import * as zlib from 'node:zlib'
import type * as rankControl from '../protocol/rank-control.js'

/**
 * Numbers as JSON, deflated, in base64: set, rank and expert in turn, the expert as -1 - expert where the rank gives it
 * up.
 */
export type MapChanges = string

/** Bounds what a damaged message may unfold to. */
const MAX_CHANGES_BYTES = 1024 * 1024

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

/** @returns undefined where the changes can't be read or don't fit the map. */
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
    // Not from a lead of this version: the caller asks for the whole map.
    return undefined
  }
}

/** Tells whether two processes mean the same map by a version. */
export function digestOf (map: rankControl.ExpertMap): string {
  return crypto.createHash('sha256').update(JSON.stringify(map)).digest('base64url').slice(0, 16)
}
