/**
 * Extracts the usage report (numbers of tokens) from the text of an engine's answer. Requests are
 * billed by this report.
 */

import * as z from 'zod'
import type { TokenCount } from '@rackwalk/shared'

/** Token counts that an engine reported for one request. */
export interface ReportedUsage {
  readonly promptTokens: TokenCount
  readonly generatedTokens: TokenCount
}

const usageSchema = z.looseObject({
  prompt_tokens: z.number().int().nonnegative(),
  completion_tokens: z.number().int().nonnegative(),
})

const FIELD = '"usage":'

/**
 * Returns the last usage report in a piece of JSON text without parsing the rest of the text;
 * undefined if there is none, or if the last one is null, truncated or malformed.
 */
export function findUsage(text: string): ReportedUsage | undefined {
  const start = text.lastIndexOf(FIELD)
  if (start < 0) return undefined
  const open = text.indexOf('{', start)
  if (open < 0 || text.slice(start + FIELD.length, open).trim() !== '') return undefined
  const close = matchingBrace(text, open)
  if (close === undefined) return undefined
  return parseUsage(text.slice(open, close + 1))
}

function parseUsage(text: string): ReportedUsage | undefined {
  try {
    const usage = usageSchema.parse(JSON.parse(text))
    return { promptTokens: usage.prompt_tokens, generatedTokens: usage.completion_tokens }
  } catch {
    return undefined
  }
}

/**
 * Returns the position of the brace that closes the brace at `open`; undefined if there is none.
 * Usage objects contain only numbers and objects, so no string contains a brace.
 */
function matchingBrace(text: string, open: number): number | undefined {
  let depth = 0
  for (let position = open; position < text.length; position += 1) {
    const character = text[position]
    if (character === '{') depth += 1
    if (character === '}') depth -= 1
    if (depth === 0) return position
  }
  return undefined
}
