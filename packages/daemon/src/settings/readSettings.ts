/**
 * Reads settings that are written as JSON, a part of YAML, without the parser of YAML: small machines pay
 * for each module at every start. Any other text, and any fault, is that parser's, which knows the lines.
 */

import type { z } from 'zod'
import { dropNulls } from './dropNulls.js'

/** What a settings file says it is; a file without a kind is the OpenAI-style instance's. */
export async function readKind(text: string): Promise<unknown> {
  const document = parsedJson(text)
  if (document !== undefined) return (document as { kind?: unknown } | null)?.kind
  const { settingsKind } = await import('./load.js')
  return settingsKind(text)
}

/** Checks settings against a schema; all faults are told at once. */
export async function readSettings<Schema extends z.ZodType>(
  schema: Schema,
  text: string,
): Promise<z.infer<Schema>> {
  const parsed = schema.safeParse(dropNulls(parsedJson(text)))
  if (parsed.success) return parsed.data
  const { parseWith } = await import('./load.js')
  return parseWith(schema, text)
}

function parsedJson(text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}
