/** The program `rackwalkd`; its settings choose the kind of instance that the process runs. */

import { cac } from 'cac'
import { gatewaySettingsSchema } from './gateway/gatewaySettings.js'
import type { PlatformModule } from './gateway/platformAdapter.js'
import { EXIT_SETTINGS, exitWithError, reportStartError, reportValid } from './startReport.js'
import { readKind, readSettings } from './settings/readSettings.js'
import { readText } from './settings/sources.js'

const GATEWAY_KIND = 'gateway'

/** Adapters that are built into the program, by the name that settings use. */
export type BuiltInAdapters = Readonly<Record<string, PlatformModule>>

interface Flags {
  readonly settings?: string
  /** Environment variable that names the file. */
  readonly settingsFrom?: string
  readonly check?: boolean
}

/** Parses the command line and runs it. */
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
  // Each kind loads only the modules that it needs: small machines pay for each in start-up time and memory.
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
  // A signal that arrives while the program is still loading must not terminate it.
  process.on('SIGHUP', () => {})
  const { runGateway } = await import('./gateway/runGateway.js')
  await runGateway(file, settings, adapters)
}

function settingsFile({ settings, settingsFrom }: Flags): string | undefined {
  if (settings !== undefined) return settings
  return settingsFrom === undefined ? undefined : process.env[settingsFrom]
}
