/**
 * Runs a case: writes its record, ends what it started, and exits with 1 if the rule was broken, 0 if it held, and 2 if
 * the case couldn't run.
 */

import * as fs from 'node:fs'
import * as path from 'node:path'
import * as url from 'node:url'

/** Whether the disruption takes place. */
export const hasTrouble = process.env.TROUBLE !== '0'

const MAX_RUN_MS = 110_000

/**
 * @param moduleUrl of the case, beside which the record is written.
 * @param run gets a function that writes a line, and one that registers what is to be ended; resolves to the breaches.
 */
export async function runCase (moduleUrl, run) {
  const file = path.join(path.dirname(url.fileURLToPath(moduleUrl)), 'record.txt')
  const lines = []
  const startedAtMs = performance.now()
  const note = (text, atMs = performance.now()) => { lines.push({ atMs, text }) }
  const cleanups = []
  const onEnd = cleanup => { cleanups.push(cleanup) }
  let code = 2
  const finish = async () => {
    for (const cleanup of cleanups.reverse()) await cleanup()
    lines.sort((a, b) => a.atMs - b.atMs)
    const text = lines.map(({ atMs, text }) => `${((atMs - startedAtMs) / 1_000).toFixed(3)} s  ${text}\n`).join('')
    fs.writeFileSync(file, text)
    process.exit(code)
  }
  const giveUp = reason => {
    note(reason)
    finish()
  }
  const watchdog = setTimeout(() => { giveUp('the case took too long') }, MAX_RUN_MS)
  for (const signal of ['SIGINT', 'SIGTERM']) process.once(signal, () => { giveUp(`the case got ${signal}`) })
  note(hasTrouble ? 'with the disruption' : 'without the disruption')
  try {
    const breaches = await run({ note, onEnd })
    for (const breach of breaches) note(`breach: ${breach}`)
    code = breaches.length > 0 ? 1 : 0
    note(code === 1 ? `the rule was broken: ${breaches.length} breaches` : 'the rule held')
    console.log(code === 1 ? `the rule was broken: ${breaches.length} breaches, the first: ${breaches[0]}` : 'the rule held')
  } catch (error) {
    note(`the case couldn't run: ${error.stack}`)
    console.log(`the case couldn't run: ${error.message}`)
  }
  clearTimeout(watchdog)
  await finish()
}
