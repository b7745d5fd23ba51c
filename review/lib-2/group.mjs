/**
 * Stand-in of a group of model servers that make their passes together, as the users' pages describe it: a pass begins
 * unless a rank holds it, a held pass waits for `go`, and an idle group makes no passes. Some orders can be left
 * unanswered and carried out seconds later.
 */

import * as serverModule from './server.mjs'

const PASS_MS = 20
/** Passes between two events of a stream. */
const PASSES_PER_EVENT = 2
/** Two experts of 2,200 MB at 180 Gbit/s. */
const COPY_MS = 196
export const SHAPE = { ranks: 4, sets: 2, experts: 16 }

/** Model of the group's servers in the configuration. */
export const ENGINE = {
  slots: 8,
  'kv-cache-tokens': 329_333,
  'link-bandwidth-mbps': 180_000,
  stride: 6,
  step_ms: 4.84,
  per_seq_ms: 0.362,
  read_per_s: 74_800,
  usual: { prompt: 800, answer: 72 },
  sets: SHAPE.sets,
  experts: SHAPE.experts,
  placements: 8,
  'spare-capacity': 3,
  'expert-size-mb': 2_200
}

export class Group {
  step = 0
  epoch = 1
  ranks = []
  #events
  #onOrder
  #popularity
  #timer

  /**
   * @param events number of events of a stream.
   * @param onOrder told of each order; it returns the time after which an order without an answer is carried out, or
   *   undefined for one that is answered.
   */
  constructor (events, onOrder) {
    this.#events = events
    this.#onOrder = onOrder
    const demandOf = rank => Math.round(1_000 / (1 + rank % SHAPE.experts) ** 1.3)
    this.#popularity = Array.from({ length: SHAPE.sets }, (_, set) =>
      Array.from({ length: SHAPE.experts }, (_, expert) => demandOf(expert * 7 + set * 3)))
  }

  /** @param ips address of the machine of each rank. */
  async start (service, ips) {
    for (const [rank, ip] of ips.entries()) {
      const state = {
        rank,
        held: undefined,
        armed: undefined,
        prepared: undefined,
        version: 0,
        map: Array.from({ length: SHAPE.sets }, () =>
          Array.from({ length: SHAPE.experts }, (_, expert) => expert).filter(expert => expert % SHAPE.ranks === rank)),
        highestVersion: 0,
        fence: 0,
        sequence: 0,
        counts: new Array(SHAPE.sets * SHAPE.experts).fill(0),
        streams: new Set()
      }
      state.server = new serverModule.Server(service, exchange => this.#run(state, exchange),
        (request, response, body) => this.#control(state, request, response, body))
      await state.server.start(ip)
      this.ranks.push(state)
    }
    this.#timer = setInterval(() => { this.#pass() }, PASS_MS)
  }

  stop () {
    clearInterval(this.#timer)
    for (const { server } of this.ranks) server.stop()
  }

  /** Entry of a rank in the list of servers. */
  row ({ rank, server }) {
    const group = { name: 'g', epoch: this.epoch, rank, state: 'open' }
    return server.row({ group, size: SHAPE.ranks })
  }

  get isHeld () {
    return this.ranks.some(({ held }) => held !== undefined && held <= this.step + 1)
  }

  /** Other experts are in demand from now on. */
  shift () {
    for (const counts of this.#popularity) counts.push(...counts.splice(0, 5))
  }

  async #run (state, { response, headers }) {
    const stream = { response, headers, passes: 0, id: 0 }
    state.streams.add(stream)
    await new Promise(resolve => { response.once('close', resolve) })
    state.streams.delete(stream)
  }

  #pass () {
    const running = this.ranks.flatMap(({ streams }) => [...streams])
    if (running.length === 0 || this.isHeld) return
    this.step += 1
    for (const state of this.ranks) {
      const { armed, prepared, streams } = state
      if (armed?.step === this.step && prepared !== undefined) {
        Object.assign(state, { version: prepared.version, map: prepared.map, armed: undefined, prepared: undefined })
      }
      this.#popularity.flat().forEach((count, index) => { state.counts[index] += count * streams.size })
    }
    for (const stream of running) this.#advance(stream)
  }

  #advance (stream) {
    const { response, headers } = stream
    if (stream.passes === 0) response.writeHead(200, { ...headers, 'Content-Type': 'text/event-stream' })
    stream.passes += 1
    if (stream.passes % PASSES_PER_EVENT !== 0) return
    stream.id += 1
    response.write(`id: ${stream.id}\ndata: piece ${stream.id} of ${headers['Attempt-Id']}\n\n`)
    if (stream.id === this.#events) response.end()
  }

  #control (state, request, response, body) {
    const send = (status, answer) => {
      const text = JSON.stringify(answer)
      response.writeHead(status, { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text) })
      response.end(text)
    }
    if (request.url === '/report') send(200, this.#report(state))
    else if (request.url === '/picked') send(200, { step: this.step, epoch: this.epoch, counts: state.counts })
    else if (request.url.startsWith('/picked?')) {
      send(200, { mapping: { version: state.version, experts: state.map }, 'is-prepared': state.prepared ?? null })
    } else if (request.url === '/order') {
      const order = JSON.parse(body.toString())
      const lateMs = this.#onOrder(state.rank, order)
      if (lateMs === undefined) send(this.#carryOut(state, order), {})
      else setTimeout(() => { this.#onOrder(state.rank, order, this.#carryOut(state, order)) }, lateMs)
    } else return false
    return true
  }

  #report (state) {
    const { prepared, armed, held, version, streams, sequence } = state
    const isPrepared = prepared !== undefined && performance.now() >= prepared.readyAtMs
    return {
      phase: 'combined',
      models: [{ name: 'm', version: 1, adapters: [] }],
      busy: prepared !== undefined && !isPrepared,
      sequence,
      'queued-requests': 0,
      'active-requests': streams.size,
      'kv-cache-used': streams.size * 1_000,
      'kv-cache-capacity': ENGINE['kv-cache-tokens'],
      'cache-handles': 0,
      pace: 1,
      step: this.step,
      mapping: version,
      'is-prepared': isPrepared ? prepared.version : null,
      'is-armed': armed ?? null,
      held: held ?? null,
      group: { name: 'g', epoch: this.epoch, rank: state.rank, state: 'open' },
      size: SHAPE.ranks,
      born: state.server.born
    }
  }

  /** @returns the status of the answer. */
  #carryOut (state, order) {
    const { operation, version, step, mapping, epoch, 'fencing-token': fence } = order
    if (fence !== undefined && fence < state.fence) return 412
    state.fence = fence ?? state.fence
    if (epoch !== undefined && epoch !== this.epoch) return 409
    const done = this.#apply(state, { operation, version, step, mapping })
    if (done === 202) state.sequence += 1
    return done
  }

  #apply (state, { operation, version, step, mapping }) {
    switch (operation) {
      case 'prepare':
        if (state.prepared?.version === version) return 200
        if (version <= state.highestVersion || state.armed !== undefined) return 409
        state.highestVersion = version
        state.prepared = {
          version, map: mapping.map(set => set[state.rank]), readyAtMs: performance.now() + COPY_MS
        }
        return 202
      case 'arm':
        if (state.armed?.version === version && state.armed.step === step) return 200
        if (state.prepared?.version !== version || performance.now() < state.prepared.readyAtMs) return 409
        if (step <= this.step) return 409
        state.armed = { version, step }
        return 202
      case 'disarm':
        if (state.version === version) return 409
        if (state.armed?.version === version) state.armed = undefined
        return 200
      case 'retention':
        if (state.held === step) return 200
        if (state.held !== undefined || step <= this.step) return 409
        state.held = step
        return 202
      case 'go':
        if (state.held === step) state.held = undefined
        return 200
      default:
        return 400
    }
  }
}
