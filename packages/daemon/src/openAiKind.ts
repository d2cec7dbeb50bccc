/**
 * Starts an instance of the OpenAI-style kind and handles the signals of its process. A bundle keeps this module and
 * its dependencies in a separate file. It therefore reports its own errors: their classes differ from those of the
 * program that loaded it.
 */

import { SEALED_EXIT_CODE } from '@rackwalk/coordination'
import { RackwalkDaemon } from './rackwalkDaemon.js'
import { reportUnhandledFaults } from './observe/unhandledFaults.js'
import { reportStartError, reportValid } from './startReport.js'
import { parseSettings } from './settings/openAiSettings.js'

/** Runs an instance, or only checks its settings. */
export async function runOpenAiKind(file: string, text: string, isCheck: boolean): Promise<void> {
  try {
    const settings = parseSettings(text)
    if (isCheck) return await reportValid(file)
    const daemon = new RackwalkDaemon(settings, { onSealed: () => process.exit(SEALED_EXIT_CODE) })
    await daemon.start()
    const drainAndExit = () => void daemon.drain().then(() => process.exit(0))
    process.once('SIGINT', drainAndExit)
    process.once('SIGTERM', drainAndExit)
    reportUnhandledFaults(error => daemon.noteFault(error))
  } catch (thrown) {
    await reportStartError(thrown)
  }
}
