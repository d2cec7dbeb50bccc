/**
 * Reads settings that are written as JSON, a subset of YAML, without loading the YAML parser: small machines pay for
 * each module at every start. Any other text, and any fault, is left to the YAML parser, which knows the lines.
 */

import type { z } from 'zod'
import { dropNulls } from './dropNulls.js'

/** The kind in a settings file; a file without a kind is that of an OpenAI-style instance. */
export async function readKind(text: string): Promise<unknown> {
  const document = parsedJson(text)
  if (document !== undefined) return (document as { kind?: unknown } | null)?.kind
  const { settingsKind } = await import('./load.js')
  return settingsKind(text)
}

/** Validates settings against a schema; all faults are reported at once. */
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
