/** Settings of an instance with the OpenAI-style interface. */

import { parseWith } from './load.js'
import { settingsSchema } from './schema.js'
import type { Settings } from './schema.js'

/** Validates YAML settings. */
export function parseSettings(text: string): Settings {
  return parseWith(settingsSchema, text)
}
