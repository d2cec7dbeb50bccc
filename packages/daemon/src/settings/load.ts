/** Parses settings from YAML; reports every fault of a file with its line, all at once. */

import type { z } from 'zod'
import { LineCounter, isNode, parseDocument } from 'yaml'
import type { Document } from 'yaml'
import { ResultCode } from '@rackwalk/shared'
import { SettingsError } from './faults.js'
import { dropNulls } from './dropNulls.js'

/** The kind in a settings file; a file without a kind is that of an OpenAI-style instance. */
export function settingsKind(text: string): unknown {
  const document = parseDocument(text)
  return document.errors.length > 0
    ? undefined
    : (document.toJS() as { kind?: unknown } | null)?.kind
}

/** Validates YAML settings against a schema; all faults are reported at once. */
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
  const parsed = schema.safeParse(dropNulls(document.toJS()))
  if (parsed.success) return parsed.data
  const faults = parsed.error.issues.map(issue => ({
    path: issue.path.join('.'),
    line: lineOf(document, issue.path, lines),
    code: ResultCode.InvalidSettings,
    message: issue.message,
  }))
  throw new SettingsError(ResultCode.InvalidSettings, faults)
}

/** The line of a path, or of its nearest ancestor that exists. */
function lineOf(document: Document, path: readonly PropertyKey[], lines: LineCounter): number {
  for (let depth = path.length; depth >= 0; depth -= 1) {
    const node = depth === 0 ? document.contents : document.getIn(path.slice(0, depth), true)
    if (isNode(node) && node.range) return lines.linePos(node.range[0]).line
  }
  return 0
}
