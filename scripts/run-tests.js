/**
 * Runs the tests. Failures of tests that KNOWN-RED.txt lists are printed, but do not fail the run. Any other failure
 * does, and so do a listed test that does not exist and an error outside of any test. Extra arguments are passed to
 * vitest.
 */

import * as childProcess from 'node:child_process'
import * as fs from 'node:fs'
import * as os from 'node:os'
import * as path from 'node:path'

const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'bulrush-tests-'))
const reportFile = path.join(folder, 'report.json')
const selected = process.argv.slice(2)
const run = childProcess.spawnSync('npx', [
  'vitest', 'run', '--reporter=default', '--reporter=json', `--outputFile.json=${reportFile}`, ...selected
], { stdio: ['ignore', 'inherit', 'inherit'] })

if (!fs.existsSync(reportFile)) {
  console.error('the test runner wrote no report')
  process.exit(1)
}
const report = JSON.parse(fs.readFileSync(reportFile, 'utf8'))
fs.rmSync(folder, { recursive: true })

const knownRed = fs.existsSync('KNOWN-RED.txt')
  ? fs.readFileSync('KNOWN-RED.txt', 'utf8').split('\n').filter(line => line.startsWith('test: ')).map(line => line.slice(6).trim())
  : []
const results = report.testResults.flatMap(file => file.assertionResults.map(test => ({
  id: `${path.relative(process.cwd(), file.name)} > ${test.title}`, status: test.status
})))
const failed = results.filter(test => test.status === 'failed')
const unexpected = failed.filter(test => !knownRed.includes(test.id))
const brokenFiles = report.testResults.filter(file => file.status === 'failed' && file.assertionResults.length === 0)
// An error outside of any test, for example an unhandled rejection, fails the run and no test.
const hasOtherError = run.status !== 0 && failed.length === 0 && brokenFiles.length === 0
const missing = selected.length > 0 ? [] : knownRed.filter(id => !results.some(test => test.id === id))

for (const test of failed.filter(test => knownRed.includes(test.id))) console.log(`known red: ${test.id}`)
for (const test of unexpected) console.log(`failed: ${test.id}`)
for (const file of brokenFiles) console.log(`did not load: ${file.name}`)
for (const id of missing) console.log(`KNOWN-RED.txt names a test that does not exist: ${id}`)
if (hasOtherError) console.log('failed: an error outside of any test')
const passed = results.filter(test => test.status === 'passed').length
const failures = unexpected.length + brokenFiles.length + missing.length + Number(hasOtherError)
console.log(`${passed} passed, ${failures} failed`)
process.exit(failures > 0 || passed === 0 ? 1 : 0)
