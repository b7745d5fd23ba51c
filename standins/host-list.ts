/**
 * Stand-in for the platform's host list: Prometheus HTTP service discovery, with delayed updates.
 */

import type * as http from 'node:http'
import * as jsonServer from './json-server.js'

interface TargetGroup {
  targets: string[]
  labels: Record<string, string>
}

export class HostListStandin {
  /** Delay until a change of the list becomes visible. */
  lagMs = 0
  /** Number of reads of the list. */
  reads = 0
  #visibleGroups: TargetGroup[] = []

  /** PUT replaces the list after `lagMs`; any other method returns the visible list. */
  handle (request: jsonServer.JsonRequest, response: http.ServerResponse): void {
    if (request.method === 'PUT') {
      const groups = JSON.parse(request.body.toString('utf8')) as TargetGroup[]
      setTimeout(() => { this.#visibleGroups = groups }, this.lagMs)
      jsonServer.sendJson(response, 200, {})
      return
    }
    this.reads += 1
    jsonServer.sendJson(response, 200, this.#visibleGroups)
  }
}
