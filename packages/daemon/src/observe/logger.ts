/** Lines of the log: an event and its fields, as JSON on standard output. */

import { LogLevels, createConsola } from 'consola'
import type { ConsolaInstance } from 'consola'
import type { Settings } from '../settings/schema.js'

/** Writes lines; a line is an event name and its fields. */
export interface Logger {
  info(event: string, fields: Readonly<Record<string, unknown>>): void
  warn(event: string, fields: Readonly<Record<string, unknown>>): void
}

const LEVELS: Readonly<Record<Settings['log']['level'], number>> = {
  silent: LogLevels.silent,
  warn: LogLevels.warn,
  info: LogLevels.info,
  debug: LogLevels.debug,
}

/** One JSON object a line on standard output, so that any collector can read it. */
export class ConsolaLogger implements Logger {
  private readonly consola: ConsolaInstance

  constructor(
    level: Settings['log']['level'],
    private readonly instanceId: string,
  ) {
    this.consola = createConsola({
      level: LEVELS[level],
      reporters: [{ log: entry => void process.stdout.write(`${entry.args.join(' ')}\n`) }],
    })
  }

  info(event: string, fields: Readonly<Record<string, unknown>>): void {
    if (this.consola.level >= LogLevels.info) this.consola.info(this.format('info', event, fields))
  }

  warn(event: string, fields: Readonly<Record<string, unknown>>): void {
    if (this.consola.level >= LogLevels.warn) this.consola.warn(this.format('warn', event, fields))
  }

  private format(level: string, event: string, fields: Readonly<Record<string, unknown>>): string {
    const time = new Date().toISOString()
    return JSON.stringify({ time, level, event, instance: this.instanceId, ...fields })
  }
}
