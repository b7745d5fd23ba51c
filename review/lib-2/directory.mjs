/**
 * How a client finds an entry: it asks the nearest directories, keeps the answer for the time that it states, and picks
 * one of the addresses at random.
 */

import * as client from './client.mjs'

const MAX_DIRECTORIES = 3
const QUERY_TIMEOUT_MS = 1_000
const MAX_LIFETIME_S = 5

export class Resolver {
  #directories
  #addresses = []
  #validUntilMs = -Infinity

  /** @param directories addresses of the directories, nearest first. */
  constructor (directories) {
    this.#directories = [...new Set(directories)].slice(0, MAX_DIRECTORIES)
  }

  async pick () {
    if (performance.now() >= this.#validUntilMs) await this.#resolve()
    if (this.#addresses.length === 0) throw new Error('no directory has answered')
    return this.#addresses[Math.floor(Math.random() * this.#addresses.length)]
  }

  /** Without a new answer, the earlier one stays in use. */
  async #resolve () {
    for (const directory of this.#directories) {
      const path = '/resolution?name=a.example&region=r&zone=zone-1'
      const answer = await client.send(directory, { method: 'GET', path }, { timeoutMs: QUERY_TIMEOUT_MS })
      if (answer.status !== 200) continue
      const { addresses, 'ttl-s': lifetimeS } = JSON.parse(answer.body.toString())
      this.#addresses = addresses
      this.#validUntilMs = performance.now() + Math.min(lifetimeS, MAX_LIFETIME_S) * 1_000
      return
    }
  }
}
