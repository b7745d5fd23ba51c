/**
 * Frame of a case: runs it with or without its disruption, writes the record and ends with the verdict. The exit code
 * is 0 if the rule held, 1 if it was broken, and 2 if the case could not run.
 */

import * as fs from 'node:fs'
import * as path from 'node:path'
import * as url from 'node:url'

const LIMIT_MS = 110_000

export class Record {
  #lines = []
  #startedAtMs = performance.now()

  /** Adds a line with the time since the start. */
  note (text) {
    this.#lines.push(`${((performance.now() - this.#startedAtMs) / 1_000).toFixed(3)} ${text}`)
  }

  /** @returns time of the record's clock, in s. */
  at (ms) {
    return ((ms - this.#startedAtMs) / 1_000).toFixed(3)
  }

  write (folder) {
    fs.writeFileSync(path.join(folder, 'record.txt'), `${this.#lines.join('\n')}\n`)
  }
}

/**
 * @param play called with `{ record, hasTrouble, onEnd }`; what is passed to `onEnd` is called when the case ends.
 *   It returns the ways in which the rule was broken, and throws if the case could not run.
 */
export async function runCase (moduleUrl, play) {
  const folder = path.dirname(url.fileURLToPath(moduleUrl))
  const hasTrouble = process.env.TROUBLE !== '0'
  const record = new Record()
  const cleanUps = []
  const finish = async (code, verdict) => {
    for (const cleanUp of cleanUps.reverse()) await cleanUp()
    record.note(verdict)
    record.write(folder)
    console.log(verdict)
    process.exit(code)
  }
  process.once('SIGTERM', () => { finish(2, 'could not run: the case was told to stop').catch(() => {}) })
  setTimeout(() => { finish(2, 'could not run: no result in time').catch(() => {}) }, LIMIT_MS).unref()
  record.note(hasTrouble ? 'with the disruption' : 'without the disruption')
  try {
    const broken = await play({ record, hasTrouble, onEnd: cleanUp => { cleanUps.push(cleanUp) } })
    for (const text of broken) record.note(text)
    if (broken.length > 0) await finish(1, `the rule was broken: ${broken[0]}`)
    else await finish(0, 'the rule held')
  } catch (error) {
    record.note(error.stack)
    await finish(2, `could not run: ${error.message}`)
  }
}
