/**
 * Draws the plots of docs/measurements-policies.md from the figures that main.js writes with --json.
 * Usage: plots.js FIGURES.json… DIRECTORY
 */

import * as fs from 'node:fs'
import * as path from 'node:path'
import * as vega from 'vega'
import * as vegaLite from 'vega-lite'
import type * as experiment from './experiment.js'

interface Row {
  [column: string]: string | number
}

interface Plot {
  file: string
  experiment: string
  /** Selects the plot's rows from the experiment's tables. */
  rows: (tables: experiment.Table[]) => Row[]
  spec: object
}

const WIDTH = 560
const BAR_STEP = 14

const plots: Plot[] = [
  {
    file: 'routing-evenness.svg',
    experiment: 'routing-load',
    rows: tables => tables.flatMap(table => column(table, 'max over mean in a group')
      .filter(row => row['name'] !== 'least reported load')),
    spec: barChart('name', 'value', 'largest over mean load of the ranks in a group')
  },
  {
    file: 'routing-wait.svg',
    experiment: 'routing-load',
    rows: tables => tables.flatMap(table => column(table, 'mean wait ms')
      .filter(row => row['name'] !== 'least reported load')),
    spec: { ...barChart('name', 'value', 'mean wait, ms'), resolve: { scale: { x: 'independent' } } }
  },
  {
    file: 'admission-goodput.svg',
    experiment: 'admission',
    rows: tables => tables.flatMap(table => linePoints(table, 'goodput')),
    spec: lineChart('offered load relative to capacity', 'goodput relative to capacity')
  },
  {
    file: 'admission-urgent.svg',
    experiment: 'admission',
    rows: tables => tables.flatMap(table => linePoints(table, 'urgent in time')),
    spec: lineChart('offered load relative to capacity', 'urgent requests answered in time')
  },
  {
    file: 'ejection-attempts.svg',
    experiment: 'ejection',
    rows: tables => tables.flatMap(table => column(table, 'attempts per request')),
    spec: barChart('name', 'value', 'attempts per request')
  },
  {
    file: 'quarantine-servers.svg',
    experiment: 'quarantine',
    rows: tables => tables.flatMap(table => column(table, 'servers lost')),
    spec: barChart('name', 'value', 'servers lost')
  }
]

function barChart (name: string, value: string, title: string): object {
  return {
    facet: { row: { field: 'table', type: 'nominal', title: null, sort: null, header: { labelAngle: 0, labelAlign: 'left', labelOrient: 'top' } } },
    spec: {
      width: WIDTH,
      height: { step: BAR_STEP },
      layer: [
        {
          mark: 'bar',
          encoding: {
            y: { field: name, type: 'nominal', sort: null, title: null, axis: { labelLimit: 320 } },
            x: { field: value, type: 'quantitative', title }
          }
        },
        {
          mark: { type: 'rule', color: 'black' },
          encoding: {
            y: { field: name, type: 'nominal', sort: null },
            x: { field: 'low', type: 'quantitative' },
            x2: { field: 'high' }
          }
        }
      ]
    }
  }
}

function lineChart (xTitle: string, yTitle: string): object {
  return {
    facet: { row: { field: 'table', type: 'nominal', title: null, sort: null } },
    spec: {
      width: WIDTH,
      height: 260,
      mark: { type: 'line', point: true },
      encoding: {
        x: { field: 'load', type: 'quantitative', title: xTitle },
        y: { field: 'value', type: 'quantitative', title: yTitle },
        color: { field: 'name', type: 'nominal', title: null, sort: null, legend: { labelLimit: 320 } }
      }
    }
  }
}

function column (table: experiment.Table, name: string): Row[] {
  const index = table.columns.indexOf(name)
  return table.rows.map(row => ({ table: table.title, name: String(row[0]), ...parseSpread(row[index]) }))
}

function linePoints (table: experiment.Table, name: string): Row[] {
  const index = table.columns.indexOf(name)
  return table.rows.map(row => ({
    table: table.title, name: String(row[0]), load: Number(row[1]), ...parseSpread(row[index])
  }))
}

/** Parses a cell formatted by `experiment.spread`: median (smallest to largest). */
function parseSpread (cell: experiment.Cell | undefined): { value: number, low: number, high: number } {
  const [value, low, high] = String(cell).split(/[^\d.]+/).map(Number)
  return { value: value!, low: low ?? value!, high: high ?? value! }
}

const files = process.argv.slice(2)
const directory = files.pop()!
const results: Record<string, experiment.ExperimentResult> = Object.assign({}, ...files.map(file =>
  (JSON.parse(fs.readFileSync(file, 'utf8')) as { results: object }).results))
for (const plot of plots) {
  const result = results[plot.experiment]
  if (result === undefined) {
    console.error(`${plot.file}: skipped, the files hold no figures of experiment ${plot.experiment}`)
    continue
  }
  const spec = { data: { values: plot.rows(result.tables) }, background: 'white', ...plot.spec }
  const compiled = vegaLite.compile(spec as unknown as vegaLite.TopLevelSpec).spec
  const view = new vega.View(vega.parse(compiled), { renderer: 'none' })
  fs.writeFileSync(path.join(directory, plot.file), await view.toSVG())
  console.log(plot.file)
}
