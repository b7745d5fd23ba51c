/**
 * Sends orders of a group's lead to the ranks: through the agent beside each rank or, while the agent does not answer,
 * to the rank itself. An order to many ranks of a failure domain goes to one agent there, which passes it on.
 */

import * as rankWatch from './rank-watch.js'
import type * as rankCall from '../../protocol/rank-call.js'
import type * as rankControl from '../../protocol/rank-control.js'
import type * as rankSwitch from '../../state/rank-switch.js'
import type * as switchOrders from '../../state/switch-orders.js'
import type * as runtime from '../runtime.js'
import type * as rankCaller from './rank-caller.js'

/** Addresses of another rank of the group, from the status of its agent. */
export interface RankAddresses {
  /** Undefined while the agent is silent. */
  agent: string | undefined
  rank: string | undefined
  failureDomain: string
}

export interface OrderSenderOptions {
  runtime: runtime.Runtime
  caller: rankCaller.RankCaller
  /** Executes a call on this agent's own rank. */
  callOwnRank: (call: rankCall.RankCall) => Promise<rankCall.RankCallAnswer>
  /** Direct access to a rank on another host, used while its agent is silent. */
  rankAt: (address: string) => rankControl.RankControl
  addressesOf: (rank: number) => RankAddresses
  onState: (state: rankSwitch.RankState) => void
  signal: AbortSignal
}

/** The group and the lead for which orders are sent. */
export interface OrderContext {
  group: string
  own: rankControl.RankGroup
  term: number
  /** Replaces the whole map of a prepare order by its difference from the map in use, where that is known. */
  compact: (order: rankControl.RankOrder) => rankControl.RankOrder | rankCall.PrepareChanges
  onOutcome: (rank: number, order: rankControl.RankOrder, outcome: rankControl.OrderOutcome) => void
}

/**
 * Ranks of a failure domain from which one agent passes an order on. Load pattern: a map that is sent to each of 128
 * ranks takes half a second on the link of the lead's host.
 */
const MIN_RELAYED_RANKS = 8
const REMOTE_REPORT_AGE_MS = 300
/** Maximum wait of a relay for each rank. A prepare order is long, and the group does not wait for it. */
const PREPARE_TIMEOUT_MS = 400
/** The same for orders for which the group may be held; a relay that stands still must not hold it for long. */
const SHORT_ORDER_TIMEOUT_MS = 200
/** Additional wait for the relay itself. */
const RELAY_MARGIN_MS = 100

export class OrderSender {
  readonly #options: OrderSenderOptions
  #rounds = 0

  constructor (options: OrderSenderOptions) {
    this.#options = options
  }

  send (orders: readonly switchOrders.AddressedOrder[], context: OrderContext): void {
    const byOrder = groupBy(orders, ({ order }) => order)
    for (const [order, addressed] of byOrder) this.#sendToAll(order, addressed.map(({ rank }) => rank), context)
  }

  #sendToAll (order: rankControl.RankOrder, ranks: number[], context: OrderContext): void {
    this.#rounds += 1
    // A hold is sent to one rank, and directly.
    const byDomain = groupBy(ranks, rank => this.#relayDomainOf(rank, context))
    for (const [domain, inDomain] of byDomain) {
      if (domain === undefined || inDomain.length < MIN_RELAYED_RANKS) {
        for (const rank of inDomain) this.#sendOne(rank, order, context)
      } else this.#relay(order, inDomain, context)
    }
  }

  /** Undefined for a rank without an agent that answers, and for the lead's own rank. */
  #relayDomainOf (rank: number, context: OrderContext): string | undefined {
    if (rank === context.own.rank) return undefined
    const { agent, failureDomain } = this.#options.addressesOf(rank)
    return agent === undefined ? undefined : failureDomain
  }

  async #relay (order: rankControl.RankOrder, ranks: number[], context: OrderContext): Promise<void> {
    const { caller, addressesOf, runtime: { nowMs, log }, signal } = this.#options
    const targets = ranks.flatMap(rank => {
      const { agent } = addressesOf(rank)
      return agent === undefined ? [] : [{ rank, address: agent }]
    })
    // Another agent in each round, so that one that does not answer costs one round.
    const relay = targets[this.#rounds % targets.length]
    const sentAtMs = nowMs()
    const timeoutMs = order.kind === 'prepare' ? PREPARE_TIMEOUT_MS : SHORT_ORDER_TIMEOUT_MS
    const call = orderCall(context, context.compact(order))
    const answer = relay === undefined
      ? undefined
      : await caller.call(
        relay.address, { kind: 'relay', targets, call, timeoutMs }, signal, timeoutMs + RELAY_MARGIN_MS)
    const answers = answer?.kind === 'relayed'
      ? new Map(answer.answers.map(one => [one.rank, one.answer]))
      : new Map<number, rankCall.RankCallAnswer>()
    const outcomes = new Map<string, number>()
    for (const rank of ranks) {
      const outcome = this.#readOrderAnswer(answers.get(rank))
      outcomes.set(outcome ?? 'direct', (outcomes.get(outcome ?? 'direct') ?? 0) + 1)
      if (outcome === undefined) this.#sendOne(rank, order, context)
      else context.onOutcome(rank, order, outcome)
    }
    log.emit('rankOrdersRelayed', {
      relay: relay?.address,
      ranks: ranks.length,
      order: order.kind,
      outcomes: Object.fromEntries(outcomes),
      tookMs: Math.round(nowMs() - sentAtMs)
    })
  }

  /** @returns undefined when the agent did not execute the order. */
  #readOrderAnswer (answer: rankCall.RankCallAnswer | undefined): rankControl.OrderOutcome | undefined {
    const { runtime: { nowMs }, onState } = this.#options
    if (answer?.kind === 'rejected') return 'fenced'
    if (answer?.kind !== 'ordered') return undefined
    if (answer.state !== undefined) onState({ ...answer.state, readAtMs: nowMs() - answer.ageMs })
    return answer.outcome
  }

  async #sendOne (rank: number, order: rankControl.RankOrder, context: OrderContext): Promise<void> {
    const { caller, addressesOf, callOwnRank, rankAt, runtime: { nowMs, log }, signal } = this.#options
    const { own, term } = context
    const { agent, rank: address } = addressesOf(rank)
    const sentAtMs = nowMs()
    let outcome: rankControl.OrderOutcome | undefined
    // A hold is sent to the rank directly. The lead's host may freeze with the order; a rank on another host can be
    // released without the lead's host.
    const isDirect = order.kind === 'hold' && rank !== own.rank && address !== undefined
    if (!isDirect && (rank === own.rank || agent !== undefined)) {
      let answer = rank === own.rank
        ? await callOwnRank(orderCall(context, order))
        : await caller.call(agent!, orderCall(context, context.compact(order)), signal)
      if (answer?.kind === 'map_unknown') answer = await caller.call(agent!, orderCall(context, order), signal)
      outcome = this.#readOrderAnswer(answer)
    }
    if (outcome === undefined && rank !== own.rank && address !== undefined) {
      outcome = await rankAt(address).order(order, own.epoch, term, signal)
      // The group is stalled until the lead knows that the order was carried out, so the state is requested at once.
      // The same applies to a refusal: the rank's pass has begun, and another step must be held.
      if (agent !== undefined) await this.#requestState(rank, agent)
    }
    log.emit('rankOrder', {
      rank,
      order: order.kind,
      outcome,
      tookMs: Math.round(nowMs() - sentAtMs),
      version: 'version' in order ? order.version : undefined,
      step: 'step' in order ? order.step : undefined
    })
    context.onOutcome(rank, order, outcome ?? 'unknown')
  }

  async #requestState (rank: number, agent: string): Promise<void> {
    const { caller, onState, runtime: { nowMs }, signal } = this.#options
    const answer = await caller.call(agent, { kind: 'state' }, signal)
    if (answer?.kind === 'state' && answer.state?.rank === rank) {
      onState({ ...answer.state, readAtMs: nowMs() - answer.ageMs })
    }
  }

  /** Reads a rank whose agent is silent. */
  async readDirectly (rank: number, address: string, group: string, phase: string | undefined): Promise<void> {
    const { rankAt, onState, runtime: { nowMs, log }, signal } = this.#options
    // A report that is read from another host is some hundred ms old when it arrives.
    const readAtMs = nowMs() - REMOTE_REPORT_AGE_MS
    const report = await rankAt(address).report(signal)
    const state = report === undefined ? undefined : rankWatch.rankStateOf({ report, readAtMs })
    if (state === undefined || report?.group?.name !== group) {
      log.emit('rankUnreachable', { rank, address, phase, group: report?.group?.name })
    } else onState(state)
  }
}

function orderCall (context: OrderContext, order: rankControl.RankOrder | rankCall.PrepareChanges): rankCall.RankCall {
  return { kind: 'order', group: context.group, epoch: context.own.epoch, term: context.term, order }
}

function groupBy<T, K> (items: readonly T[], keyOf: (item: T) => K): Map<K, T[]> {
  const groups = new Map<K, T[]>()
  for (const item of items) {
    const key = keyOf(item)
    const group = groups.get(key)
    if (group === undefined) groups.set(key, [item])
    else group.push(item)
  }
  return groups
}
