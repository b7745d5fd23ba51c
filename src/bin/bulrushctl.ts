#!/usr/bin/env node
import * as clipanion from 'clipanion'
import * as documents from './ctl-documents.js'
import * as operations from './ctl-operations.js'
import * as version from '../protocol/version.js'

const cli = new clipanion.Cli({ binaryLabel: 'bulrushctl', binaryName: 'bulrushctl', binaryVersion: version.VERSION })
for (const command of [...documents.documentCommands, ...operations.operationCommands]) cli.register(command)
cli.register(clipanion.Builtins.HelpCommand)
cli.register(clipanion.Builtins.VersionCommand)
const code = await cli.run(process.argv.slice(2))
// clipanion returns 1 for an invalid command line. An explicit exit does not wait for connections that are kept alive.
process.exit(code)
