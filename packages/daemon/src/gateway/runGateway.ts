/** Starts a gateway instance and handles the signals of its process. */

import { resolve } from 'node:path'
import { pathToFileURL } from 'node:url'
import { reportUnhandledFaults } from '../observe/unhandledFaults.js'
import { GatewayDaemon } from './gatewayDaemon.js'
import type { GatewaySettings } from './gatewaySettings.js'
import type { PlatformModule } from './platformAdapter.js'
import { SettingsWatcher } from './settingsWatcher.js'

/** Starts an instance. SIGINT and SIGTERM drain it and exit the process; SIGHUP reloads the settings file. */
export async function runGateway(
  file: string,
  settings: GatewaySettings,
  adapters: Readonly<Record<string, PlatformModule>>,
): Promise<void> {
  const module = adapters[settings.adapter] ?? (await loadAdapter(settings.adapter))
  const daemon = new GatewayDaemon(settings, module.createPlatformAdapter())
  const watcher = new SettingsWatcher(file, settings, outcome => daemon.noteSettings(outcome))
  const drainAndExit = () => void daemon.drain().then(() => process.exit(0))
  process.once('SIGINT', drainAndExit)
  process.once('SIGTERM', drainAndExit)
  process.on('SIGHUP', () => void watcher.reload('signal'))
  reportUnhandledFaults(error => daemon.noteFault(error))
  await daemon.start()
  watcher.start()
}

async function loadAdapter(file: string): Promise<PlatformModule> {
  return (await import(pathToFileURL(resolve(file)).href)) as PlatformModule
}
