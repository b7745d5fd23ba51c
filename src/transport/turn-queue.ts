/**
 * Work that connections still have after the share that each gets in a turn of the event loop. It is done in the order
 * of its arrival, for a bounded time in each turn, so that what arrives on other connections is read in between.
 */

/** Time for deferred work in each turn. */
const TURN_MS = 5

const waiting: (() => void)[] = []
let isScheduled = false

/** Runs a task in a later turn. */
export function defer (task: () => void): void {
  waiting.push(task)
  if (isScheduled) return
  isScheduled = true
  setImmediate(runTurn)
}

function runTurn (): void {
  const endMs = performance.now() + TURN_MS
  while (waiting.length > 0 && performance.now() < endMs) waiting.shift()!()
  isScheduled = waiting.length > 0
  if (isScheduled) setImmediate(runTurn)
}
