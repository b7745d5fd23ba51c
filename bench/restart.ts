/**
 * Reads of the table service, and time until entries are ready, when the entries start without a reachable peer; with
 * and without the snapshot in the object store, alternately. Real entries, 1,200 teams.
 */

import * as experiment from './experiment.js'
import * as cluster from '../playground/cluster.js'
import * as seedTeams from '../playground/seed-teams.js'
import * as configurationSnapshot from '../src/protocol/configuration-snapshot.js'

const TEAMS = 1_200
const ENTRIES = 12
/** The same rate per entry as the table service's 2,000 reads/s for 400 entries, here for 12. */
const READS_PER_SECOND = 60
/** Round trip to the table service in another failure domain. */
const TABLE_DELAY_MS = 2
const ROUNDS = 4
const READY_TIMEOUT_MS = 30_000
/** Changes after the snapshot: the mean for a snapshot period of 300 s at 6,500 changes a day. */
const CHANGES_AFTER_SNAPSHOT = 23

interface Round {
  reads: number
  refused: number
  readyMs: number
}

/** Writes the teams, waits for a snapshot of them, and writes the changes after it. @returns the last revision. */
async function prepare (deployment: cluster.Cluster): Promise<number> {
  await deployment.start()
  const written = await seedTeams.seedTeams(deployment, TEAMS, 2)
  await cluster.waitFor('the snapshot is written', READY_TIMEOUT_MS, async () => {
    const response = await fetch(`http://${deployment.platform.ready['objects'] as string}/bucket/configuration-snapshot`)
    const decoded = await configurationSnapshot.decodeSnapshot(Buffer.from(await response.arrayBuffer()))
    return decoded.kind === 'ok' && decoded.snapshot.revision === written
  })
  // Later snapshots fail, so that entries read the changes since this one from the table service.
  await deployment.setPlatform('objects', { mode: 'down' })
  return seedTeams.seedTeams(deployment, CHANGES_AFTER_SNAPSHOT, written)
}

/**
 * Kills all entries, starts the given ones while the table service is down and no peer is reachable, and ends the
 * outage of the table service.
 */
async function restartOnce (
  deployment: cluster.Cluster, entries: cluster.EntryNode[], revision: number, hasSnapshot: boolean
): Promise<Round> {
  for (const entry of deployment.entries) entry.process.kill('SIGKILL')
  await Promise.all(deployment.entries.map(entry => entry.process.exited))
  for (const entry of deployment.entries) entry.peerProxy!.setFaults({ refuse: true })
  await deployment.setPlatform('objects', { mode: hasSnapshot ? 'up' : 'down' })
  await deployment.setPlatform('table', { mode: 'down', delayMs: TABLE_DELAY_MS, readsPerSecond: READS_PER_SECOND })
  await Promise.all(entries.map(entry => deployment.restartEntry(entry)))
  const before = await deployment.platformCounts()
  await deployment.setPlatform('table', { mode: 'up' })
  const readyMs = await cluster.waitFor('all entries are ready', READY_TIMEOUT_MS, async () => {
    const answers = await Promise.all(entries.map(entry => fetch(`http://${entry.address}/readyz`)))
    const documents = await Promise.all(answers.map(answer => answer.json() as Promise<{ revision: number }>))
    return answers.every(answer => answer.ok) && documents.every(document => document.revision === revision)
  })
  const after = await deployment.platformCounts()
  return { reads: after.reads - before.reads, refused: after.throttled - before.throttled, readyMs }
}

export const restartExperiment: experiment.Experiment = {
  name: 'restart',
  description: `entries that return after an outage without a peer in reach, ${TEAMS} teams, ${READS_PER_SECOND} reads/s`,
  async run () {
    const deployment = new cluster.Cluster({
      failureDomains: ['kista', 'solna', 'södra'],
      entries: ENTRIES,
      models: [],
      services: [],
      teams: ['support'],
      proxied: ['caller', 'peer'],
      snapshotPeriodMs: 500
    })
    const rows: experiment.Cell[][] = []
    try {
      const revision = await prepare(deployment)
      for (const count of [1, ENTRIES]) {
        const rounds: Record<string, Round[]> = { without: [], with: [] }
        for (let round = 0; round < ROUNDS; round++) {
          for (const [name, results] of Object.entries(rounds)) {
            results.push(await restartOnce(deployment, deployment.entries.slice(0, count), revision, name === 'with'))
          }
        }
        for (const [name, results] of Object.entries(rounds)) {
          rows.push([
            count, name, experiment.spread(results.map(one => one.reads), 0),
            experiment.spread(results.map(one => one.refused), 0),
            experiment.spread(results.map(one => one.readyMs), 0)
          ])
        }
      }
    } finally {
      await deployment.stop()
    }
    const columns = ['entries', 'snapshot', 'table reads', 'refused', 'ready after the outage, ms']
    return { tables: [{ title: 'restart', columns, rows }], conclusions: [] }
  }
}
