#!/usr/bin/env node
/** Entry point of `rackwalkd`: the settings say which kind of instance the process becomes. */

import { cac } from 'cac'
import { consola } from 'consola'
import { gatewaySettingsSchema } from './gateway/gatewaySettings.js'
import { EXIT_SETTINGS, fail, report } from './report.js'
import { parseWith, readText, settingsKind } from './settings/load.js'

const GATEWAY_KIND = 'gateway'

interface Flags {
  readonly settings?: string
  /** Environment variable that names the file. */
  readonly settingsFrom?: string
  readonly check?: boolean
}

async function run(flags: Flags): Promise<void> {
  const file = settingsFile(flags)
  if (file === undefined) return fail('--settings FILE is required', EXIT_SETTINGS)
  const text = readText(file)
  // Each kind loads only what it needs: start-up time and memory are paid on small machines.
  if (settingsKind(text) === GATEWAY_KIND) return runGatewayKind(file, text, flags)
  const { runOpenAiKind } = await import('./openAiKind.js')
  await runOpenAiKind(file, text, flags.check === true)
}

async function runGatewayKind(file: string, text: string, flags: Flags): Promise<void> {
  const settings = parseWith(gatewaySettingsSchema, text)
  if (flags.check) return consola.success(`${file}: the settings are valid`)
  // A signal that comes while the program is still loading must not end it.
  process.on('SIGHUP', () => {})
  const { runGateway } = await import('./gateway/runGateway.js')
  await runGateway(file, settings)
}

function settingsFile({ settings, settingsFrom }: Flags): string | undefined {
  if (settings !== undefined) return settings
  return settingsFrom === undefined ? undefined : process.env[settingsFrom]
}

const program = cac('rackwalkd')
program
  .command('', 'Run one instance of the router fleet')
  .option('--settings <file>', 'Settings file (YAML)')
  .option('--settings-from <variable>', 'Environment variable that names the settings file')
  .option('--check', 'Check the settings and exit')
  .action((flags: Flags) => run(flags).catch(report))
program.help()
program.version('0.1.0')
program.parse()
