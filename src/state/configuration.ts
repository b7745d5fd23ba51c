/**
 * Templates, teams and the change log. A node's copy follows the log one revision at a time and never goes back.
 */

import * as zod from 'zod'

const NAME = zod.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'expected 1 to 63 of a-z, 0-9 and -, starting with a letter or digit')

const limitsSchema = zod.strictObject({
  /** Requests admitted per second over all entries. */
  requestsPerSecond: zod.number().positive().max(1_000_000),
  /** Requests in flight over all entries. */
  concurrentRequests: zod.int().positive().max(1_000_000)
})

const serviceSchema = zod.strictObject({
  kind: zod.enum(['model', 'plain']),
  /** False when requests must run at most once. Methods such as GET and HEAD are always repeatable. */
  repeatable: zod.boolean(),
  /** 0 is the most urgent. */
  priority: zod.int().min(0).max(9),
  /** Timeout of a request that sends no deadline. */
  timeoutMs: zod.int().min(10).max(3_600_000)
})

const parametersSchema = zod.strictObject({
  services: zod.record(NAME, serviceSchema.partial({ priority: true, timeoutMs: true, repeatable: true })).optional(),
  limits: limitsSchema.partial().optional(),
  /** Priority of services that do not set their own. */
  priority: zod.int().min(0).max(9).optional()
})

export const templateSchema = zod.strictObject({
  name: NAME,
  parameters: parametersSchema
})

export const teamSchema = zod.strictObject({
  name: NAME,
  template: NAME,
  parameters: parametersSchema,
  /** SHA-256 digests of the team's keys, in hexadecimal. */
  keyDigests: zod.array(zod.string().regex(/^[0-9a-f]{64}$/, 'expected a SHA-256 digest in hexadecimal')).max(8)
})

export type Parameters = zod.infer<typeof parametersSchema>
export type Template = zod.infer<typeof templateSchema>
export type Team = zod.infer<typeof teamSchema>
export type Limits = zod.infer<typeof limitsSchema>
export type Service = zod.infer<typeof serviceSchema>

export interface ResolvedTeam {
  readonly name: string
  readonly services: ReadonlyMap<string, Service>
  readonly limits: Limits
  readonly keyDigests: readonly string[]
}

export type EntityKind = 'template' | 'team' | 'stop'

/** One accepted change, which is both a delta of the configuration and an entry of the audit trail. */
export interface Change {
  revision: number
  entityKind: EntityKind
  entityName: string
  /** Revision of the entity that this change replaced; 0 for a new entity. */
  replacedRevision: number
  /** New document; undefined when the entity was removed. */
  document: unknown
  operator: string
  acceptedAtMs: number
  operationId: string
}

export interface Entity {
  revision: number
  document: unknown
  change: Change
}

export interface Configuration {
  revision: number
  entities: Map<string, Entity>
  /** The last changes up to the revision, without gaps; sent to peers that are only a few revisions behind. */
  recent: Change[]
  /** Resolved teams by name and by key digest; rebuilt when a change touches them. */
  teams: Map<string, ResolvedTeam>
  teamByDigest: Map<string, ResolvedTeam>
}

const DEFAULT_LIMITS: Limits = { requestsPerSecond: 100, concurrentRequests: 100 }
const DEFAULT_PRIORITY = 5
const DEFAULT_TIMEOUT_MS = 60_000
/** Long enough that no copy of the stop is still in transit between peers. */
const LIFTED_STOP_RETENTION_MS = 24 * 3_600_000
/** Two hours of changes at the design load of 6,500 a day. */
const MAX_RECENT_CHANGES = 540

export function createConfiguration (): Configuration {
  return { revision: 0, entities: new Map(), recent: [], teams: new Map(), teamByDigest: new Map() }
}

export function entityId (kind: EntityKind, name: string): string {
  return `${kind}/${name}`
}

export type ApplyResult = 'applied' | 'old' | 'gap'

/** Applies the change that follows the copy's revision; any other is refused, so the copy never goes back. */
export function applyChange (configuration: Configuration, change: Change): ApplyResult {
  if (change.revision <= configuration.revision) return 'old'
  if (change.revision > configuration.revision + 1) return 'gap'
  setEntity(configuration, change)
  configuration.revision = change.revision
  if (change.entityKind === 'stop') dropLiftedStops(configuration, change.acceptedAtMs)
  configuration.recent.push(change)
  if (configuration.recent.length > MAX_RECENT_CHANGES) configuration.recent.shift()
  rebuildTeams(configuration, change)
  return 'applied'
}

/** Changes after a revision; undefined when the copy no longer holds all of them. */
export function changesAfter (configuration: Configuration, revision: number): Change[] | undefined {
  if (revision >= configuration.revision) return []
  const first = configuration.recent[0]?.revision
  if (first === undefined || first > revision + 1) return undefined
  return configuration.recent.slice(revision + 1 - first)
}

/** Replaces the copy by a newer snapshot; an older one is refused. */
export function applySnapshot (configuration: Configuration, revision: number, changes: Change[]): ApplyResult {
  if (revision <= configuration.revision) return 'old'
  configuration.entities.clear()
  configuration.recent = []
  for (const change of changes) setEntity(configuration, change)
  dropLiftedStops(configuration, changes.reduce((latestMs, change) => Math.max(latestMs, change.acceptedAtMs), 0))
  configuration.revision = revision
  rebuildTeams(configuration)
  return 'applied'
}

function setEntity (configuration: Configuration, change: Change): void {
  const id = entityId(change.entityKind, change.entityName)
  if (change.document === undefined) configuration.entities.delete(id)
  else configuration.entities.set(id, { revision: change.revision, document: change.document, change })
}

/**
 * Drops stops that were lifted long ago, so that a copy does not accumulate all stops ever recorded.
 *
 * @param nowMs when the latest change of the log was accepted.
 */
function dropLiftedStops (configuration: Configuration, nowMs: number): void {
  for (const [id, { change, document }] of configuration.entities) {
    const isLifted = change.entityKind === 'stop' && (document as { lifted: boolean }).lifted
    if (isLifted && change.acceptedAtMs < nowMs - LIFTED_STOP_RETENTION_MS) configuration.entities.delete(id)
  }
}

function rebuildTeams (configuration: Configuration, change?: Change): void {
  if (change?.entityKind === 'stop') return
  if (change?.entityKind === 'team') {
    const old = configuration.teams.get(change.entityName)
    for (const digest of old?.keyDigests ?? []) configuration.teamByDigest.delete(digest)
    configuration.teams.delete(change.entityName)
    if (change.document !== undefined) addTeam(configuration, change.document as Team)
    return
  }
  configuration.teams.clear()
  configuration.teamByDigest.clear()
  for (const [id, entity] of configuration.entities) {
    if (id.startsWith('team/')) addTeam(configuration, entity.document as Team)
  }
}

function addTeam (configuration: Configuration, team: Team): void {
  const template = configuration.entities.get(entityId('template', team.template))?.document as Template | undefined
  const resolved = resolveTeam(team, template)
  configuration.teams.set(team.name, resolved)
  for (const digest of resolved.keyDigests) configuration.teamByDigest.set(digest, resolved)
}

/** Merges a team's parameters into those of its template; the team's take precedence. */
export function resolveTeam (team: Team, template: Template | undefined): ResolvedTeam {
  const base = template?.parameters ?? {}
  const own = team.parameters
  const priority = own.priority ?? base.priority ?? DEFAULT_PRIORITY
  const services = new Map<string, Service>()
  for (const [name, partial] of [...Object.entries(base.services ?? {}), ...Object.entries(own.services ?? {})]) {
    services.set(name, { repeatable: true, priority, timeoutMs: DEFAULT_TIMEOUT_MS, ...services.get(name), ...partial })
  }
  return Object.freeze({
    name: team.name,
    services,
    limits: { ...DEFAULT_LIMITS, ...base.limits, ...own.limits },
    keyDigests: team.keyDigests
  })
}

export type ValidationResult =
  | { kind: 'valid', document: Template | Team }
  | { kind: 'invalid', problems: string[] }

/** Checks a template or team document against its schema and against the entities that it names. */
export function validateDocument (
  kind: 'template' | 'team', name: string, document: unknown, configuration: Configuration
): ValidationResult {
  const parsed = (kind === 'template' ? templateSchema : teamSchema).safeParse(document)
  if (!parsed.success) {
    return { kind: 'invalid', problems: parsed.error.issues.map(issue => `${issue.path.join('.') || 'document'}: ${issue.message}`) }
  }
  const problems: string[] = []
  if (parsed.data.name !== name) problems.push(`name: the document says ${parsed.data.name}, the request says ${name}`)
  if (kind === 'team') {
    const team = parsed.data as Team
    if (!configuration.entities.has(entityId('template', team.template))) {
      problems.push(`template: there is no template ${team.template}`)
    }
    for (const digest of team.keyDigests) {
      const owner = configuration.teamByDigest.get(digest)
      if (owner !== undefined && owner.name !== name) problems.push('keyDigests: a key belongs to another team')
    }
  }
  return problems.length > 0 ? { kind: 'invalid', problems } : { kind: 'valid', document: parsed.data }
}
