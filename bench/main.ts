/**
 * Runs the named experiments, or all, prints their tables, and writes the figures to FILE with --json.
 * Usage: main.js [NAME…] [--json FILE] [--seeds N]
 */

import * as fs from 'node:fs'
import * as os from 'node:os'
import * as util from 'node:util'
import * as admission from './admission.js'
import * as claimRate from './claim-rate.js'
import * as claimSharing from './claim-sharing.js'
import * as controlLoad from './control-load.js'
import * as ejection from './ejection.js'
import type * as experiment from './experiment.js'
import * as expertGroup from './expert-group.js'
import * as expertPlanner from './expert-planner.js'
import * as expertReachable from './expert-reachable.js'
import * as hostLoad from './host-load.js'
import * as limits from './limits.js'
import * as pathLatency from './path-latency.js'
import * as quarantine from './quarantine.js'
import * as restart from './restart.js'
import * as roleProfile from './role-profile.js'
import * as routing from './routing.js'
import * as routingReal from './routing-real.js'

const experiments: experiment.Experiment[] = [
  pathLatency.pathLatency, claimRate.claimRate, claimSharing.claimSharingExperiment,
  ...controlLoad.experiments, ...hostLoad.experiments,
  expertPlanner.expertPlannerExperiment, expertPlanner.expertPlanTime, ...expertReachable.reachableExperiments,
  expertGroup.expertGroup,
  ...routing.routingExperiments, routingReal.routingReal, admission.admissionExperiment, limits.limitsExperiment,
  ejection.ejectionExperiment, quarantine.quarantineExperiment, restart.restartExperiment,
  roleProfile.roleProfile
]

const DEFAULT_SEEDS = '5'

const { values, positionals } = util.parseArgs({
  allowPositionals: true,
  options: { json: { type: 'string' }, seeds: { type: 'string', default: DEFAULT_SEEDS } }
})
const selected = positionals.length === 0
  ? experiments
  : experiments.filter(candidate => positionals.includes(candidate.name))
const unknown = positionals.filter(name => !experiments.some(candidate => candidate.name === name))
if (unknown.length > 0) {
  console.error(
    `unknown experiment ${unknown.join(', ')}; known experiments: ${experiments.map(known => known.name).join(', ')}`)
  process.exit(2)
}
const seeds = Array.from({ length: Number(values.seeds) }, (_, index) => index + 1)
const results: Record<string, experiment.ExperimentResult> = {}
for (const chosen of selected) {
  console.log(`\n== ${chosen.name}: ${chosen.description}`)
  const result = await chosen.run({ seeds })
  results[chosen.name] = result
  for (const table of result.tables) printTable(table)
  for (const conclusion of result.conclusions) console.log(`- ${conclusion}`)
}
if (values.json !== undefined) {
  const figures = { node: process.version, cores: os.cpus().length, seeds, results }
  fs.writeFileSync(values.json, JSON.stringify(figures, null, 2))
}
process.exit(0)

function printTable (table: experiment.Table): void {
  const cells = [table.columns, ...table.rows.map(row => row.map(cell =>
    typeof cell === 'number' ? String(Math.round(cell * 1000) / 1000) : cell))]
  const widths = table.columns.map((_, column) => Math.max(...cells.map(row => row[column]!.length)))
  console.log(`\n${table.title}`)
  for (const row of cells) console.log(row.map((cell, column) => cell.padEnd(widths[column]!)).join('  ').trimEnd())
}
