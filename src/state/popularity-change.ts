/**
 * Detects that the requests of a rank choose other experts than shortly before.
 *
 * Load pattern: popularity stays the same for seconds and then changes within one pass, in all groups of a service. A
 * plan from counts of both sides of the change fits neither, and its copies delay the plan that does.
 */

/** How often each expert was chosen, by set. */
type Choices = readonly (readonly number[])[]

/**
 * Mean cosine similarity of two consecutive windows from which popularity counts as unchanged. The requests of one
 * rank differ from each other, so its windows are less alike than those of a whole group.
 */
const MIN_SIMILARITY = 0.8

/** Whether popularity changed between or within two consecutive windows. A window without choices shows no change. */
export function isChanged (earlier: Choices, later: Choices): boolean {
  let total = 0
  let compared = 0
  later.forEach((set, index) => {
    const similarity = cosineSimilarity(earlier[index] ?? [], set)
    if (similarity === undefined) return
    total += similarity
    compared += 1
  })
  return compared > 0 && total / compared < MIN_SIMILARITY
}

/** @returns undefined when nothing was chosen in one of the windows. */
function cosineSimilarity (a: readonly number[], b: readonly number[]): number | undefined {
  let [product, squaresA, squaresB] = [0, 0, 0]
  b.forEach((count, expert) => {
    const other = a[expert] ?? 0
    product += count * other
    squaresA += other * other
    squaresB += count * count
  })
  return squaresA === 0 || squaresB === 0 ? undefined : product / Math.sqrt(squaresA * squaresB)
}
