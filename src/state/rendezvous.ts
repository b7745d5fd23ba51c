/**
 * Weighted rendezvous (highest random weight) hashing: each key ranks all members, and a member that joins or leaves
 * moves only the keys for which it ranks first.
 */

/** 64-bit hash of a text. */
export type Hash64 = (text: string) => bigint

export interface RendezvousMember {
  id: string
  /** Relative share of the keys; members with weight 0 rank last. */
  weight: number
}

const MANTISSA_SCALE = 2 ** 53

/** Members in order of preference for the key, best first. */
export function rankMembers<M extends RendezvousMember> (key: string, members: readonly M[], hash64: Hash64): M[] {
  return members
    .map(member => ({ member, score: scoreOf(key, member, hash64) }))
    .sort((a, b) => b.score - a.score || (a.member.id < b.member.id ? -1 : 1))
    .map(ranked => ranked.member)
}

function scoreOf (key: string, member: RendezvousMember, hash64: Hash64): number {
  // With the logarithm, the shares are proportional to the weights.
  const unit = (Number(hash64(`${key}\u0000${member.id}`) >> 11n) + 0.5) / MANTISSA_SCALE
  return member.weight <= 0 ? -unit : member.weight / -Math.log(unit)
}
