/**
 * Worker thread that plans expert placements, so that planning for a large group does not delay the agent's requests.
 */

import * as workerThreads from 'node:worker_threads'
import * as expertPlanner from '../state/expert-planner.js'
import type * as groupShape from '../state/group-shape.js'

export interface PlanRequest {
  shape: groupShape.GroupShape
  layers: groupShape.LayerSlots[]
  counts: number[][]
  /** Change of each layer's counts since the last plan; undefined for the first plan. */
  changes: number[] | undefined
  options: expertPlanner.PlannerOptions
}

export interface PlannerThread {
  plan (request: PlanRequest): Promise<expertPlanner.ExpertPlan>
}

export function startPlannerThread (signal: AbortSignal): PlannerThread {
  const worker = new workerThreads.Worker(new URL(import.meta.url))
  worker.unref()
  signal.addEventListener('abort', () => { worker.terminate().catch(() => {}) }, { once: true })
  return {
    plan: request => new Promise((resolve, reject) => {
      worker.once('message', resolve)
      worker.once('error', reject)
      worker.postMessage(request)
    })
  }
}

workerThreads.parentPort?.on('message', ({ shape, layers, counts, changes, options }: PlanRequest) => {
  workerThreads.parentPort!.postMessage(expertPlanner.planExperts(shape, layers, counts, options, changes))
})
