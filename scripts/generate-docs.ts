/**
 * Writes docs/events.md and docs/metrics.md from the catalogues of log events and metrics. With --check, it writes
 * nothing and fails when a page differs.
 */

import * as fs from 'node:fs'
import * as logEvents from '../src/protocol/log-events.js'
import * as metricCatalogue from '../src/protocol/metric-catalogue.js'
import * as platformSettings from '../src/protocol/platform-settings.js'
import * as settings from '../src/protocol/settings.js'

const eventRows = Object.entries(logEvents.logEvents)
  .sort(([, a], [, b]) => a.number - b.number)
  .map(([name, event]) => `| ${event.number} | ${event.level} | \`${name}\` | ${event.text} |`)
const metricRows = Object.entries(metricCatalogue.metrics)
  .map(([name, metric]) => `| \`bulrush.${name}\` | ${metric.kind} | ${metric.text} |`)

function settingRows (table: settings.SettingTable): string {
  return Object.values(table).map(({ flag, fallback, description }) => {
    const initial = fallback === undefined ? 'required' : fallback === '' ? 'empty' : `\`${fallback}\``
    return `| \`--${flag}\` | \`${settings.environmentName(flag)}\` | ${initial} | ${description} |`
  }).join('\n')
}

const pages: Record<string, string> = {
  'docs/events.md': `# Log events

Numbers are stable. Each log line carries its number in the field \`event\`. This page is generated from
\`src/protocol/log-events.ts\` by \`npm run generate\`.

| number | level | name | meaning |
|---|---|---|---|
${eventRows.join('\n')}
`,
  'docs/metrics.md': `# Metrics

StatsD metrics, sent to \`--statsd-address\` with the tags \`role\` and \`host\`. This page is generated from
\`src/protocol/metric-catalogue.ts\` by \`npm run generate\`.

| name | kind | meaning |
|---|---|---|
${metricRows.join('\n')}
`,
  'docs/settings.md': `# Settings of the programs on a platform

A flag takes precedence over its environment variable, and this over the settings file. This page is generated from
\`src/protocol/platform-settings.ts\` by \`npm run generate\`.

## bulrush-platform-entry

| flag | environment variable | default | meaning |
|---|---|---|---|
${settingRows(platformSettings.entrySettings)}

## bulrush-platform-agent

| flag | environment variable | default | meaning |
|---|---|---|---|
${settingRows(platformSettings.agentSettings)}
`
}

const numbers = Object.values(logEvents.logEvents).map(event => event.number)
if (new Set<number>(numbers).size !== numbers.length) fail('two log events have the same number')
for (const [file, text] of Object.entries(pages)) {
  if (!process.argv.includes('--check')) fs.writeFileSync(file, text)
  else if (fs.readFileSync(file, 'utf8') !== text) fail(`${file} is out of date: run npm run generate`)
}

function fail (message: string): never {
  console.error(message)
  process.exit(1)
}
