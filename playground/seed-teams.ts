/**
 * Writes many teams directly to the table service's stand-in, as rows of the change log.
 */

import * as cluster from './cluster.js'

const ROWS_PER_TRANSACTION = 99
const ROWS_PER_CHANGE = 3

/** Adds `count` teams as the changes that follow a revision. @returns the revision of the last change. */
export async function seedTeams (deployment: cluster.Cluster, count: number, afterRevision: number): Promise<number> {
  const rows: object[] = []
  for (let index = 1; index <= count; index++) {
    const revision = afterRevision + index
    const change = teamChange(`seeded-${revision}`, revision)
    const sort = String(revision).padStart(12, '0')
    rows.push(
      itemOf('change', sort, 1, change),
      itemOf('entity', `team/${change.entityName}`, 1, change),
      itemOf('operation', change.operationId, 1, { revision })
    )
  }
  const chunk = Math.floor(ROWS_PER_TRANSACTION / ROWS_PER_CHANGE) * ROWS_PER_CHANGE
  for (let start = 0; start < rows.length; start += chunk) await writeRows(deployment, rows.slice(start, start + chunk))
  // The head is written last, since entries read the changes up to it as soon as they see it.
  await writeRows(deployment, [itemOf('head', 'head', afterRevision + count, {})])
  return afterRevision + count
}

function teamChange (name: string, revision: number): { entityName: string, operationId: string } {
  return Object.assign({ entityName: name, operationId: `seed-${revision}` }, {
    revision,
    entityKind: 'team',
    replacedRevision: 0,
    document: {
      name,
      template: 'standard',
      parameters: { priority: revision % 10, limits: { requestsPerSecond: 100, concurrentRequests: 50 } },
      keyDigests: [cluster.digestOf(cluster.teamKey(name))]
    },
    operator: 'playground',
    acceptedAtMs: 1_700_000_000_000 + revision
  })
}

function itemOf (partition: string, sort: string, revision: number, document: object): object {
  return { pk: { S: partition }, sk: { S: sort }, rev: { N: String(revision) }, doc: { S: JSON.stringify(document) } }
}

async function writeRows (deployment: cluster.Cluster, items: object[]): Promise<void> {
  const response = await fetch(`http://${deployment.platform.ready['table'] as string}/`, {
    method: 'POST',
    headers: { 'x-amz-target': 'DynamoDB_20120810.TransactWriteItems' },
    body: JSON.stringify({
      ClientRequestToken: crypto.randomUUID(), TransactItems: items.map(item => ({ Put: { Item: item } }))
    })
  })
  if (!response.ok) throw new Error(`writing rows of seeded teams failed: ${response.status} ${await response.text()}`)
}
