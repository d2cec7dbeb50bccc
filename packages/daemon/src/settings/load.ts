/** Reads settings and secrets, and names every fault of a file with its line at once. */

import { readFileSync } from 'node:fs'
import type { z } from 'zod'
import { LineCounter, isNode, parseDocument } from 'yaml'
import type { Document } from 'yaml'
import { RackwalkError, ResultCode } from '@rackwalk/shared'
import type { SecretSource } from './schema.js'

/** One fault of a settings file. */
export interface SettingsFault {
  readonly path: string
  /** Counted from 1; 0 where the fault has no place. */
  readonly line: number
  readonly code: ResultCode
  readonly message: string
}

/** Carries every fault of a settings file at once. */
export class SettingsError extends RackwalkError {
  constructor(
    code: ResultCode.InvalidSettings | ResultCode.UnreadableSettings,
    readonly faults: readonly SettingsFault[],
  ) {
    super(code, faults.map(formatFault).join('; '))
  }
}

/** A fault as one line of a message. */
export function formatFault({ path, line, code, message }: SettingsFault): string {
  return `line ${line}: ${path || '(root)'}: ${message} [${code}]`
}

/** What a settings file says it is; a file without a kind is the OpenAI-style instance's. */
export function settingsKind(text: string): unknown {
  const document = parseDocument(text)
  return document.errors.length > 0
    ? undefined
    : (document.toJS() as { kind?: unknown } | null)?.kind
}

/** Checks settings given as YAML against a schema; all faults are told at once. */
export function parseWith<Schema extends z.ZodType>(schema: Schema, text: string): z.infer<Schema> {
  const lines = new LineCounter()
  const document = parseDocument(text, { lineCounter: lines })
  if (document.errors.length > 0) {
    const faults = document.errors.map(error => ({
      path: '',
      line: error.linePos?.[0].line ?? 0,
      code: ResultCode.UnreadableSettings,
      message: error.message.split('\n')[0] ?? error.message,
    }))
    throw new SettingsError(ResultCode.UnreadableSettings, faults)
  }
  const parsed = schema.safeParse(withoutEmpty(document.toJS()))
  if (parsed.success) return parsed.data
  const faults = parsed.error.issues.map(issue => ({
    path: issue.path.join('.'),
    line: lineOf(document, issue.path, lines),
    code: ResultCode.InvalidSettings,
    message: issue.message,
  }))
  throw new SettingsError(ResultCode.InvalidSettings, faults)
}

/** Reads a secret from where the settings say. */
export function readSecret(source: SecretSource): string {
  if ('file' in source) return readText(source.file).trim()
  const value = process.env[source.environment]
  if (value !== undefined && value !== '') return value
  throw unreadable(`environment variable ${source.environment} is not set`)
}

/** Reads a file of settings or of a secret. */
export function readText(file: string): string {
  try {
    return readFileSync(file, 'utf8')
  } catch (thrown) {
    throw unreadable(`${file}: ${(thrown as NodeJS.ErrnoException).code ?? 'unreadable'}`)
  }
}

function unreadable(message: string): SettingsError {
  const code = ResultCode.UnreadableSettings
  return new SettingsError(code, [{ path: '', line: 0, code, message }])
}

/** The line of a path, or of its nearest ancestor that is there. */
function lineOf(document: Document, path: readonly PropertyKey[], lines: LineCounter): number {
  for (let depth = path.length; depth >= 0; depth -= 1) {
    const node = depth === 0 ? document.contents : document.getIn(path.slice(0, depth), true)
    if (isNode(node) && node.range) return lines.linePos(node.range[0]).line
  }
  return 0
}

/** A key without a value counts as left out, so that a filled-in template may leave gaps. */
function withoutEmpty(value: unknown): unknown {
  if (Array.isArray(value)) return value.filter(item => item !== null).map(withoutEmpty)
  if (typeof value !== 'object' || value === null) return value
  const kept = Object.entries(value).filter(([, child]) => child !== null)
  return Object.fromEntries(kept.map(([key, child]) => [key, withoutEmpty(child)]))
}
