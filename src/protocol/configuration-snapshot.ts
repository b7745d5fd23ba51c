/**
 * Format of the configuration snapshot in the object store: a header line and a content line, compressed with gzip. The
 * header contains the format version and the SHA-256 digest of the content line.
 */

import * as crypto from 'node:crypto'
import * as util from 'node:util'
import * as zlib from 'node:zlib'
import * as zod from 'zod'
import * as configuration from '../state/configuration.js'

export interface StoredSnapshot {
  revision: number
  /** Operation id of the change at the revision; shows whether the snapshot belongs to the same change log. */
  operationId: string
  /** The newest change of each existing entity. */
  changes: configuration.Change[]
}

export type DecodeResult =
  | { kind: 'ok', snapshot: StoredSnapshot }
  | { kind: 'invalid', detail: string }

const FORMAT_VERSION = 1
/** Limits the memory that a damaged object can use; 1,200 teams need about 0.5 MB. */
const MAX_CONTENT_BYTES = 64 * 1024 * 1024

const headerSchema = zod.object({ format: zod.int().positive(), checksum: zod.string() })

const changeSchema = zod.object({
  revision: zod.int().positive(),
  entityKind: zod.enum(['template', 'team', 'stop']),
  entityName: zod.string().min(1),
  replacedRevision: zod.int().min(0),
  document: zod.unknown(),
  operator: zod.string(),
  acceptedAtMs: zod.number(),
  operationId: zod.string().min(1)
})

const stopSchema = zod.looseObject({
  stopId: zod.string(),
  scope: zod.enum(['host', 'failure-domain']),
  name: zod.string(),
  recorded: zod.boolean(),
  lifted: zod.boolean()
})

const documentSchemas: Record<configuration.EntityKind, zod.ZodType> = {
  template: configuration.templateSchema, team: configuration.teamSchema, stop: stopSchema
}

const contentSchema = zod.object({
  revision: zod.int().positive(),
  operationId: zod.string().min(1),
  changes: zod.array(changeSchema)
}).superRefine((content, context) => {
  for (const change of content.changes) {
    const document = documentSchemas[change.entityKind].safeParse(change.document)
    if (document.success && change.revision <= content.revision) continue
    context.addIssue({ code: 'custom', message: `${change.entityKind}/${change.entityName} is not valid` })
  }
})

export async function encodeSnapshot (snapshot: StoredSnapshot): Promise<Buffer> {
  const content = JSON.stringify(snapshot)
  const header = JSON.stringify({ format: FORMAT_VERSION, checksum: digestOf(content) })
  return util.promisify(zlib.gzip)(`${header}\n${content}`)
}

export async function decodeSnapshot (body: Buffer): Promise<DecodeResult> {
  try {
    const unpacked = await util.promisify(zlib.gunzip)(body, { maxOutputLength: MAX_CONTENT_BYTES })
    const text = unpacked.toString('utf8')
    const end = text.indexOf('\n')
    const header = headerSchema.safeParse(JSON.parse(text.slice(0, end)))
    if (!header.success) return { kind: 'invalid', detail: 'the header is not valid' }
    if (header.data.format !== FORMAT_VERSION) {
      return { kind: 'invalid', detail: `format ${header.data.format}, this version reads ${FORMAT_VERSION}` }
    }
    const content = text.slice(end + 1)
    if (digestOf(content) !== header.data.checksum) return { kind: 'invalid', detail: 'the checksum differs' }
    const parsed = contentSchema.safeParse(JSON.parse(content))
    if (!parsed.success) return { kind: 'invalid', detail: parsed.error.issues[0]!.message }
    return { kind: 'ok', snapshot: parsed.data as StoredSnapshot }
  } catch (error) {
    return { kind: 'invalid', detail: (error as Error).message }
  }
}

function digestOf (text: string): string {
  return crypto.createHash('sha256').update(text).digest('hex')
}
