/**
 * Expert maps at an agent of a lock-step group: the peer listener, the periodic check for undecided maps, and, at the
 * lowest rank, the planning loop.
 */

import type * as connect from '@connectrpc/connect'
import * as environment from './environment.js'
import * as groupPeers from './group-peers.js'
import * as mapAgent from './map-agent.js'
import * as mapProposer from './map-proposer.js'
import * as planningLoop from './planning-loop.js'
import * as weightLoader from './weight-loader.js'
import * as controlPb from '../gen/bulrush/v1/control_pb.js'
import * as mapMessages from '../protocol/map-messages.js'
import type * as platform from '../protocol/platform.js'
import * as settings from '../protocol/settings.js'
import * as expertPlanner from '../state/expert-planner.js'
import * as mapSwitch from '../state/map-switch.js'
import type * as clientPool from '../transport/client-pool.js'
import * as engineMapClient from '../transport/engine-map-client.js'
import * as hostListClient from '../transport/host-list-client.js'
import * as peerServer from '../transport/peer-server.js'
import * as weightClient from '../transport/weight-client.js'

export const expertMapSettings = {
  engineManagementAddress: {
    flag: 'engine-management-address',
    description: 'IP address and port of the engine\'s management port; empty when the backend server is in no lock-step group',
    fallback: '',
    schema: settings.schemas.optionalText
  },
  group: { flag: 'group', description: 'lock-step group', fallback: '', schema: settings.schemas.optionalText },
  rank: { flag: 'rank', description: 'rank in the group', fallback: '0', schema: settings.schemas.integer(0, 65_535) },
  groupSize: {
    flag: 'group-size',
    description: 'number of ranks in the group',
    fallback: '1',
    schema: settings.schemas.integer(1, 65_535)
  },
  groupPeers: {
    flag: 'group-peers',
    description: 'peer addresses of the group\'s agents by rank, separated by commas; empty uses those in the host list',
    fallback: '',
    schema: settings.schemas.names
  },
  peerListen: {
    flag: 'peer-listen',
    description: 'address of the listener for other agents',
    fallback: '127.0.0.1:0',
    schema: settings.schemas.address
  },
  weightStoreUrl: {
    flag: 'weight-store-url',
    description: 'URL of the weight store',
    fallback: '',
    schema: settings.schemas.optionalHttpUrl
  },
  // Counts of 60 layers and 64 experts take about 11 KB a rank; 127 ranks every 120 s stay below 20 KB/s at the leader.
  planPeriodMs: {
    flag: 'plan-period-ms',
    description: 'time between expert plans, in ms; 0 disables planning',
    fallback: '120000',
    schema: settings.schemas.integer(0, 86_400_000)
  },
  expertCostWeight: {
    flag: 'expert-cost-weight',
    description: 'step-time skew that is equivalent to 1 GB/s of moved expert weights',
    fallback: String(expertPlanner.DEFAULT_PLANNER_OPTIONS.costWeight),
    schema: settings.schemas.number(0, 1e9)
  },
  expertBytes: {
    flag: 'expert-bytes',
    description: 'size of the weights of one expert in one layer, in bytes',
    fallback: String(expertPlanner.DEFAULT_PLANNER_OPTIONS.expertBytes),
    schema: settings.schemas.integer(1, 1_000_000_000_000)
  },
  mapPrepareTimeoutMs: {
    flag: 'map-prepare-timeout-ms',
    description: 'maximum time for all ranks to load an expert map, in ms',
    fallback: '600000',
    schema: settings.schemas.integer(100, 86_400_000)
  },
  mapDecisionTimeoutMs: {
    flag: 'map-decision-timeout-ms',
    description: 'time that a rank waits for a decision before its agent asks the others, in ms',
    fallback: '500',
    schema: settings.schemas.integer(10, 60_000)
  }
} satisfies settings.SettingTable

export type ResolvedExpertMapSettings = settings.Resolved<typeof expertMapSettings> & {
  hostListUrl: string, platformTimeoutMs: number, models: string[]
}

const UNDECIDED_CHECK_PERIOD_MS = 50
const WEIGHT_FETCH_TIMEOUT_MS = 30_000

/** The process that the expert maps are part of. */
export interface AgentProcess {
  incarnation: string
  /** Connections of all its listeners. */
  clients: clientPool.ClientPool
}

/** Starts the expert maps of one rank; they end when the signal aborts. @returns the address of the peer listener. */
export async function startExpertMaps (
  options: ResolvedExpertMapSettings, env: environment.Environment, { incarnation, clients }: AgentProcess,
  signal: AbortSignal, onBroken: (error: Error) => void
): Promise<string> {
  const engine = new engineMapClient.HttpEngineManagement(options.engineManagementAddress, options.platformTimeoutMs)
  const store = new weightClient.S3WeightStore(options.weightStoreUrl, WEIGHT_FETCH_TIMEOUT_MS)
  const weights = weightLoader.createWeightLoader(env, store, options.models[0] ?? options.group)
  const agent = mapAgent.createMapAgent(env, { incarnation, rank: options.rank, engine, weights }, signal)
  const tokens = async (): Promise<number[]> => (await engine.tokens(signal))?.flat() ?? []
  const peers = groupPeers.createGroupPeers({
    group: options.group,
    rank: options.rank,
    ranks: options.groupSize,
    addresses: options.groupPeers,
    callTimeoutMs: options.mapDecisionTimeoutMs
  }, agent, tokens, new hostListClient.HttpHostList(options.hostListUrl, options.platformTimeoutMs), env.nowMs, signal)
  const proposer = mapProposer.createMapProposer(env, peers, {
    prepareTimeoutMs: options.mapPrepareTimeoutMs, decisionTimeoutMs: options.mapDecisionTimeoutMs
  })
  const address = await peerServer.listenForPeers({
    address: options.peerListen, routes: router => serveExpertMaps(router, agent, tokens), pool: clients, signal
  })
  watchUndecidedMaps(options, env, agent, proposer, signal, onBroken)
  const leader = mapSwitch.leaderOf(Array.from({ length: options.groupSize }, (_, rank) => rank))
  if (options.planPeriodMs > 0 && options.rank === leader) {
    const plan = planningLoop.startPlanning(env, {
      periodMs: options.planPeriodMs,
      planner: {
        ...expertPlanner.DEFAULT_PLANNER_OPTIONS, costWeight: options.expertCostWeight, expertBytes: options.expertBytes
      }
    }, agent, peers, proposer, signal)
    environment.every(options.planPeriodMs, signal, () => plan(onBroken))
  }
  return address
}

function serveExpertMaps (
  router: connect.ConnectRouter, agent: mapAgent.MapAgent, tokens: () => Promise<number[]>
): void {
  router.service(controlPb.ExpertMapSwitch, {
    prepare: async request => {
      const map = mapMessages.mapFromMessage(request.map)
      const { result, promised, step, reason } = await agent.handle(mapMessages.prepareFromMessage(request), map)
      return { result, promisedBallot: BigInt(promised), holdStep: BigInt(step), reason }
    },
    commit: async request => {
      const answer = await agent.handle(mapMessages.commitFromMessage(request), mapMessages.mapFromMessage(request.map))
      return { result: answer.result, promisedBallot: BigInt(answer.promised), reason: answer.reason }
    },
    resolve: async request => {
      const answer = await agent.handle(mapMessages.resolveFromMessage(request))
      const map: platform.ExpertMap | undefined = answer.result === 'committed'
        ? await agent.mapOf(Number(request.version))
        : undefined
      return {
        result: answer.result,
        promisedBallot: BigInt(answer.promised),
        step: BigInt(answer.step),
        reason: answer.reason,
        agentIncarnation: answer.agentIncarnation,
        groupIncarnation: answer.groupIncarnation,
        mapVersion: BigInt(answer.mapVersion),
        ...(map === undefined ? {} : { map: mapMessages.mapToMessage(map) }),
        tokenCounts: request.withTokens ? (await tokens()).map(BigInt) : []
      }
    }
  })
}

/**
 * Asks the other ranks when this rank has waited too long for a decision. Lower ranks ask first, so that ballots rarely
 * collide.
 */
function watchUndecidedMaps (
  options: ResolvedExpertMapSettings, env: environment.Environment, agent: mapAgent.MapAgent,
  proposer: mapProposer.MapProposer, signal: AbortSignal, onBroken: (error: Error) => void
): void {
  let heldVersion: number | undefined
  let heldSinceMs = 0
  let isBusy = false
  environment.every(UNDECIDED_CHECK_PERIOD_MS, signal, () => {
    if (isBusy) return
    isBusy = true
    check().catch(error => { if (!signal.aborted) onBroken(error as Error) }).finally(() => { isBusy = false })
  })

  async function check (): Promise<void> {
    const engine = await agent.snapshot()
    const version = engine?.hold?.version
    if (version !== heldVersion) {
      heldVersion = version
      heldSinceMs = env.nowMs()
    }
    if (engine === undefined || version === undefined) return
    const timeoutMs = options.mapDecisionTimeoutMs * (1.5 + options.rank / options.groupSize + env.random() / 4)
    if (env.nowMs() - heldSinceMs < timeoutMs) return
    if (await proposer.resolve(engine.groupIncarnation, version, signal) === 'open') heldSinceMs = env.nowMs()
  }
}
