/**
 * The difference of two expert maps, as a lead sends it to the agents of its group.
 *
 * Load pattern: the map of a large group takes 10 KB, and each of 62 agents needs a new one every few seconds. A plan
 * changes a few places in a hundred, and each agent has the map that it starts from.
 */

import * as crypto from 'node:crypto'
import type * as rankControl from '../protocol/rank-control.js'

/** Set, rank and expert in turn; the expert as -1 - expert where the rank gives it up. */
export type MapChanges = number[]

export function changesBetween (before: rankControl.ExpertMap, after: rankControl.ExpertMap): MapChanges {
  const changes: MapChanges = []
  after.forEach((ranks, set) => {
    ranks.forEach((experts, rank) => {
      const old = before[set]?.[rank] ?? []
      for (const expert of experts) if (!old.includes(expert)) changes.push(set, rank, expert)
      for (const expert of old) if (!experts.includes(expert)) changes.push(set, rank, -1 - expert)
    })
  })
  return changes
}

/** @returns undefined where the changes don't fit the map. */
export function applyChanges (before: rankControl.ExpertMap, changes: MapChanges): rankControl.ExpertMap | undefined {
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

/** Tells whether two processes mean the same map by a version. */
export function digestOf (map: rankControl.ExpertMap): string {
  return crypto.createHash('sha256').update(JSON.stringify(map)).digest('base64url').slice(0, 16)
}
