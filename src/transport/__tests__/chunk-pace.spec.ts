import * as events from 'node:events'
import * as timers from 'node:timers/promises'
import * as vitest from 'vitest'
import * as chunkPace from '../chunk-pace.js'

const { expect, test } = vitest

interface FakeResponse {
  pieces: number
  leave: () => void
}

/** A response that hands over a piece of many chunks in each turn for as long as its connection is not paused. */
function openResponse (chunksInPiece: number): FakeResponse {
  const emitter = new events.EventEmitter()
  let [isPaused, isOpen] = [false, true]
  const response = { pieces: 0, leave: () => { isOpen = false } }
  const handOver = (): void => {
    if (isPaused || !isOpen) return
    response.pieces += 1
    for (let chunk = 0; chunk < chunksInPiece; chunk++) emitter.emit('data')
    setImmediate(handOver)
  }
  const socket = {
    pause: () => { isPaused = true },
    resume: () => {
      isPaused = false
      setImmediate(handOver)
    }
  }
  chunkPace.paceChunks({ socket, on: (event, listener) => emitter.on(event, listener) } as chunkPace.PacedResponse)
  handOver()
  return response
}

// Guards against several responses that take up a turn of the event loop together.
test('responses of many chunks go on one after the other', async () => {
  const responses = [1, 2, 3].map(() => openResponse(5_000))
  expect(responses.map(({ pieces }) => pieces)).toEqual([1, 1, 1])
  for (let turn = 0; turn < 12; turn++) {
    const before = responses.map(({ pieces }) => pieces)
    await timers.setImmediate()
    expect(responses.filter(({ pieces }, index) => pieces > before[index]!).length).toBeLessThanOrEqual(1)
  }
  for (const response of responses) {
    expect(response.pieces).toBeGreaterThan(2)
    response.leave()
  }
})

test('a response of few chunks in each turn is read on at once', async () => {
  const response = openResponse(100)
  for (let turn = 0; turn < 5; turn++) await timers.setImmediate()
  expect(response.pieces).toBeGreaterThanOrEqual(5)
  response.leave()
})

// Guards against a response that is gone when its turn comes, and holds up the others.
test('a response that has ended meanwhile holds up no other one', async () => {
  const [gone, sound] = [openResponse(5_000), openResponse(5_000)]
  gone.leave()
  for (let turn = 0; turn < 10; turn++) await timers.setImmediate()
  expect(sound.pieces).toBeGreaterThan(2)
  sound.leave()
})
