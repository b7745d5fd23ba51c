/**
 * Fails when a page names a file, test or identifier that the repository doesn't have.
 */

import * as childProcess from 'node:child_process'
import * as fs from 'node:fs'
import * as path from 'node:path'

const IGNORED_FOLDER = 'journal/'
/** Decision records name code as it was when they were written, so their names are not checked. */
const HISTORY_FOLDER = 'docs/decisions/'
const FILE_NAME = /^[\w./*-]+\.(ts|js|json|md|proto|toml|settings)$/
const IDENTIFIER = /^([a-z]+[A-Z]\w*|[A-Z][A-Z0-9]*_[A-Z0-9_]+)$/
const TEST_NAME = /^(?!npm )[\w'’-]+(( [\w'’,;:()-]+)+ …|( [\w'’,;:()-]+){2,})$/

const tracked = childProcess.execFileSync('git', ['ls-files'], { encoding: 'utf8' })
  .split('\n').filter(file => file !== '' && !file.startsWith(IGNORED_FOLDER) && fs.existsSync(file))
const sources = tracked.filter(file => /\.(ts|js|proto|toml|settings)$/.test(file)).map(file => fs.readFileSync(file, 'utf8')).join('\n').replaceAll('\\\'', '\'')
const identifiers = new Set(sources.match(/\w+/g))
const problems = []

/** Environment variables of settings are built from the names of their flags. */
function isVariableOfFlag (name) {
  const flag = name.replace(/^BULRUSH_/, '').toLowerCase().replaceAll('_', '-')
  return name.startsWith('BULRUSH_') && sources.includes(`flag: '${flag}'`)
}

for (const page of tracked.filter(file => file.endsWith('.md'))) {
  const text = fs.readFileSync(page, 'utf8')
  for (const [, target] of text.matchAll(/\]\(([^)#:\s]+)(?:#[^)]*)?\)/g)) {
    if (!fs.existsSync(path.join(path.dirname(page), target))) problems.push(`${page}: no file ${target}`)
  }
  if (page.startsWith(HISTORY_FOLDER)) continue
  for (const [, name] of text.matchAll(/`([^`\n]+)`/g)) {
    if (FILE_NAME.test(name)) {
      const pattern = new RegExp(`(^|/)${name.replaceAll('.', '\\.').replaceAll('*', '.*')}$`)
      if (!tracked.some(file => pattern.test(file))) problems.push(`${page}: no file ${name}`)
    } else if (IDENTIFIER.test(name)) {
      if (!identifiers.has(name) && !isVariableOfFlag(name)) problems.push(`${page}: no identifier ${name}`)
    } else if (page.startsWith('docs/guarantees') && TEST_NAME.test(name) && !sources.includes(name.replace(/ ?…$/, ''))) {
      problems.push(`${page}: no test ${name}`)
    }
  }
}
for (const problem of problems) console.error(problem)
process.exit(problems.length > 0 ? 1 : 0)
