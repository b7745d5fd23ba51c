import * as vitest from 'vitest'
import * as taskModule from '../task.js'

// Guards against changes that are never pushed to peers because the message that announces them is lost.
vitest.test('messages that effects post to their own task arrive in order', async () => {
  const stopped = new AbortController()
  const received: number[] = []
  let broken: Error | undefined
  const task: taskModule.Task<number> = taskModule.startTask<number, number, number>({
    initial: 0,
    transition: (state, message) => ({ state: state + 1, effects: [message] }),
    perform: message => {
      received.push(message)
      if (message < 100) {
        task.post(message * 100 + 1)
        task.post(message * 100 + 2)
      }
    },
    signal: stopped.signal,
    onBroken: error => { broken = error }
  })
  task.post(1)
  task.post(2)
  await new Promise(resolve => setTimeout(resolve, 20))
  vitest.expect(received).toEqual([1, 2, 101, 102, 201, 202])
  vitest.expect(broken).toBeUndefined()
  stopped.abort()
  await task.done
})

vitest.test('messages posted after the end are ignored', async () => {
  const stopped = new AbortController()
  const received: number[] = []
  const task = taskModule.startTask<undefined, number, number>({
    initial: undefined,
    transition: (state, message) => ({ state, effects: [message] }),
    perform: message => { received.push(message) },
    signal: stopped.signal,
    onBroken: () => {}
  })
  stopped.abort()
  await task.done
  task.post(1)
  await new Promise(resolve => setTimeout(resolve, 5))
  vitest.expect(received).toEqual([])
})
