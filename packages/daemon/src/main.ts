#!/usr/bin/env node
import { cac } from 'cac'
import { consola } from 'consola'
import { RackwalkError } from '@rackwalk/shared'
import { gatewaySettingsSchema } from './gateway/gatewaySettings.js'
import { SettingsError, formatFault, parseWith, readText, settingsKind } from './settings/load.js'

/** Entry point of `rackwalkd`. */

const EXIT_FAULT = 1
const EXIT_SETTINGS = 2
const GATEWAY_KIND = 'gateway'
/** Tells the supervisor that the process should be started anew, as a new incarnation. */
const EXIT_SEALED = 75

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
  const { parseSettings } = await import('./settings/openAiSettings.js')
  const settings = parseSettings(text)
  if (flags.check) return consola.success(`${file}: the settings are valid`)
  const { RackwalkDaemon } = await import('./rackwalkDaemon.js')
  const daemon = new RackwalkDaemon(settings, { onSealed: () => process.exit(EXIT_SEALED) })
  await daemon.start()
  const leave = () => void daemon.drain().then(() => process.exit(0))
  process.once('SIGINT', leave)
  process.once('SIGTERM', leave)
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

function fail(message: string, code: number): void {
  consola.error(message)
  process.exitCode = code
}

function report(thrown: unknown): void {
  if (thrown instanceof SettingsError) {
    for (const fault of thrown.faults) consola.error(formatFault(fault))
    process.exitCode = EXIT_SETTINGS
    return
  }
  const text = thrown instanceof RackwalkError ? `${thrown.code} ${thrown.message}` : String(thrown)
  fail(text, EXIT_FAULT)
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
