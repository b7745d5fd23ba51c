/**
 * Declares settings as command line options.
 */

import * as clipanion from 'clipanion'
import * as settings from './settings.js'

/** Adds a command line option for each setting to a command. */
export function declareOptions (command: clipanion.Command, table: settings.SettingTable): void {
  const target = command as unknown as Record<string, unknown>
  for (const [name, setting] of Object.entries(table)) {
    const fallback = setting.fallback === undefined ? 'required' : `default ${setting.fallback || 'none'}`
    target[name] = clipanion.Option.String(`--${setting.flag}`, {
      env: settings.environmentName(setting.flag),
      description: `${setting.description} [${fallback}; ${settings.environmentName(setting.flag)}]`
    })
  }
}
