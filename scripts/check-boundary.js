/**
 * Fails when a name of the platform's wire format occurs outside of platform/, deploy/ and docs/, when the adapter
 * imports decision logic, or when there is an import cycle.
 */

import * as childProcess from 'node:child_process'
import * as fs from 'node:fs'
import * as path from 'node:path'

const WIRE_NAMES = [
  'attempt-id', 'deadline-remaining-ms', 'token-usage', 'prompt-prefix', 'length-hint', 'expected-instance',
  'server-signature', 'not-executed', 'server-load', 'instance-id', 'expected-version', 'weight-versions', 'at-server',
  'rows-tx', 'rows-get', 'rows-feed', 'rows-parts', 'blob-put', 'schema-version', 'start-revision',
  'traffic-split', 'path-prefix', 'max-attempts', 'stream-resumption', 'session-affinity', 'target-gap-ms', 'api-keys',
  'cold-remaining-ms', 'kv-cache-used', 'is-prepared', 'is-armed', 'fencing-token', 'ttl-s', 'BULRUSHROUTE_BOOT',
  'inference-engine', 'spare-capacity', '/resolution', '/readiness', '/picked'
]
const DECISION_LOGIC_FOLDERS = ['src/state/', 'src/coordination/']

const tracked = childProcess.execFileSync('git', ['ls-files', '--cached', '--others', '--exclude-standard', '*.ts', '*.js'], { encoding: 'utf8' })
  .split('\n').filter(file => file !== '' && fs.existsSync(file))
const problems = []

for (const file of tracked) {
  if (file.startsWith('platform/') || file === 'scripts/check-boundary.js' || file.startsWith('journal/')) continue
  const text = fs.readFileSync(file, 'utf8').toLowerCase()
  for (const name of WIRE_NAMES) if (text.includes(name.toLowerCase())) problems.push(`${file}: the wire name ${name} is allowed only in platform/`)
}

for (const file of tracked) {
  const isAdapter = file.startsWith('platform/') && !/^platform\/(bin|standins|__tests__)\//.test(file)
  if (!isAdapter) continue
  for (const [, from] of fs.readFileSync(file, 'utf8').matchAll(/^import (?!type ).* from '\.\.\/(.*)'$/gm)) {
    if (DECISION_LOGIC_FOLDERS.some(folder => from.startsWith(folder))) problems.push(`${file}: the adapter imports decision logic from ${from}`)
  }
}

const imports = new Map(tracked.filter(file => file.endsWith('.ts')).map(file => [
  file,
  [...fs.readFileSync(file, 'utf8').matchAll(/^import .* from '(\.[^']*)'$/gm)]
    .map(([, from]) => path.normalize(path.join(path.dirname(file), from.replace(/\.js$/, '.ts'))))
]))
const checked = new Set()
for (const file of imports.keys()) findImportCycle(file, [])

for (const problem of problems) console.error(problem)
console.log(`checked ${tracked.length} files for names of the platform's wire and for import cycles`)
process.exit(problems.length > 0 ? 1 : 0)

function findImportCycle (file, importers) {
  if (importers.includes(file)) {
    problems.push(`import cycle: ${[...importers.slice(importers.indexOf(file)), file].join(' > ')}`)
    return
  }
  if (checked.has(file)) return
  for (const imported of imports.get(file) ?? []) findImportCycle(imported, [...importers, file])
  checked.add(file)
}
