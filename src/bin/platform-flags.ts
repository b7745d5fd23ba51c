/**
 * Parses flags, `--help` and `--version` of the programs that run on a platform.
 */

import * as clipanion from 'clipanion'
import * as settingsOptions from '../protocol/settings-options.js'
import type * as settings from '../protocol/settings.js'
import * as version from '../protocol/version.js'

/** @returns the values of the flags that are set. Ends the process after `--help`, `--version` or an invalid flag. */
export async function parseFlags (
  name: string, description: string, table: settings.SettingTable, args: string[]
): Promise<settings.RawSettings> {
  let flags: settings.RawSettings | undefined
  class StartCommand extends clipanion.Command {
    static override paths = [clipanion.Command.Default]
    static override usage = clipanion.Command.Usage({ description })

    constructor () {
      super()
      settingsOptions.declareOptions(this, table)
    }

    override async execute (): Promise<number> {
      flags = Object.fromEntries(Object.keys(table).map(setting =>
        [setting, (this as unknown as settings.RawSettings)[setting]]))
      return 0
    }
  }
  const cli = new clipanion.Cli({ binaryLabel: name, binaryName: name, binaryVersion: version.VERSION })
  cli.register(StartCommand)
  cli.register(clipanion.Builtins.HelpCommand)
  cli.register(clipanion.Builtins.VersionCommand)
  const code = await cli.run(args)
  return flags ?? process.exit(code)
}
