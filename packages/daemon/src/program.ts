/** The program `rackwalkd`: the settings say which kind of instance the process becomes. */

import { cac } from 'cac'
import { gatewaySettingsSchema } from './gateway/gatewaySettings.js'
import type { PlatformModule } from './gateway/platformAdapter.js'
import { EXIT_SETTINGS, exitWithError, reportStartError, reportValid } from './startReport.js'
import { readKind, readSettings } from './settings/readSettings.js'
import { readText } from './settings/sources.js'

const GATEWAY_KIND = 'gateway'

/** Adapters that are a part of the program, by the name that settings give them. */
export type BuiltInAdapters = Readonly<Record<string, PlatformModule>>

interface Flags {
  readonly settings?: string
  /** Environment variable that names the file. */
  readonly settingsFrom?: string
  readonly check?: boolean
}

/** Reads the words it was started with and does what they say. */
export function startProgram(adapters: BuiltInAdapters = {}): void {
  const program = cac('rackwalkd')
  program
    .command('', 'Run one instance of the router fleet')
    .option('--settings <file>', 'Settings file (YAML)')
    .option('--settings-from <variable>', 'Environment variable that names the settings file')
    .option('--check', 'Check the settings and exit')
    .action((flags: Flags) => run(flags, adapters).catch(reportStartError))
  program.help()
  program.version('0.1.0')
  program.parse()
}

async function run(flags: Flags, adapters: BuiltInAdapters): Promise<void> {
  const file = settingsFile(flags)
  if (file === undefined) return exitWithError('--settings FILE is required', EXIT_SETTINGS)
  const text = readText(file)
  // Each kind loads only what it needs: start-up time and memory are paid on small machines.
  if ((await readKind(text)) === GATEWAY_KIND) return runGatewayKind(file, text, flags, adapters)
  const { runOpenAiKind } = await import('./openAiKind.js')
  await runOpenAiKind(file, text, flags.check === true)
}

async function runGatewayKind(
  file: string,
  text: string,
  flags: Flags,
  adapters: BuiltInAdapters,
): Promise<void> {
  const settings = await readSettings(gatewaySettingsSchema, text)
  if (flags.check) return reportValid(file)
  // A signal that comes while the program is still loading must not end it.
  process.on('SIGHUP', () => {})
  const { runGateway } = await import('./gateway/runGateway.js')
  await runGateway(file, settings, adapters)
}

function settingsFile({ settings, settingsFrom }: Flags): string | undefined {
  if (settings !== undefined) return settings
  return settingsFrom === undefined ? undefined : process.env[settingsFrom]
}
