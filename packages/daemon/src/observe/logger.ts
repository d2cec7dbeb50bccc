/** Log lines: an event and its fields, as JSON on standard output. */

import type { Settings } from '../settings/schema.js'

type Level = Settings['log']['level']

/** Writes log lines; a line consists of an event name and fields. */
export interface Logger {
  info(event: string, fields: Readonly<Record<string, unknown>>): void
  warn(event: string, fields: Readonly<Record<string, unknown>>): void
}

/** Settings levels at which info lines and warnings are written. */
const INFO_LEVELS: readonly Level[] = ['info', 'debug']
const WARN_LEVELS: readonly Level[] = ['warn', ...INFO_LEVELS]

/** Writes one JSON object per line to standard output, so that any log collector can read it. */
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
