/** Lines of the log: an event and its fields, as JSON on standard output. */

import type { Settings } from '../settings/schema.js'

type Level = Settings['log']['level']

/** Writes lines; a line is an event name and its fields. */
export interface Logger {
  info(event: string, fields: Readonly<Record<string, unknown>>): void
  warn(event: string, fields: Readonly<Record<string, unknown>>): void
}

/** Levels at which a line is written. */
const INFO_LEVELS: readonly Level[] = ['info', 'debug']
const WARN_LEVELS: readonly Level[] = ['warn', ...INFO_LEVELS]

/** One JSON object a line on standard output, so that any collector can read it. */
export class JsonLogger implements Logger {
  private readonly logsInfo: boolean
  private readonly logsWarnings: boolean

  constructor(
    level: Level,
    private readonly instanceId: string,
  ) {
    this.logsInfo = INFO_LEVELS.includes(level)
    this.logsWarnings = WARN_LEVELS.includes(level)
  }

  info(event: string, fields: Readonly<Record<string, unknown>>): void {
    if (this.logsInfo) this.write('info', event, fields)
  }

  warn(event: string, fields: Readonly<Record<string, unknown>>): void {
    if (this.logsWarnings) this.write('warn', event, fields)
  }

  private write(level: string, event: string, fields: Readonly<Record<string, unknown>>): void {
    const time = new Date().toISOString()
    const line = JSON.stringify({ time, level, event, instance: this.instanceId, ...fields })
    process.stdout.write(`${line}\n`)
  }
}
