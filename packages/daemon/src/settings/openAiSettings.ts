import { parseWith, readText } from './load.js'
import { settingsSchema } from './schema.js'
import type { Settings } from './schema.js'

/** Settings of an instance with the OpenAI-style interface. */

/** Reads and checks a settings file. */
export function loadSettings(file: string): Settings {
  return parseSettings(readText(file))
}

/** Checks settings given as YAML. */
export function parseSettings(text: string): Settings {
  return parseWith(settingsSchema, text)
}
