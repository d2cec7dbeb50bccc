/** Prints documents as a table, JSON, YAML or CSV. */

import { stringify } from 'yaml'
import type { CommandEnvironment } from '../environment.js'
import { usageError } from '../errors.js'
import type { Table } from './table.js'
import { renderCsv, renderTable } from './table.js'

const OUTPUT_FORMATS = ['table', 'json', 'yaml', 'csv'] as const
/** Output formats of documents. */
export type OutputFormat = (typeof OUTPUT_FORMATS)[number]

/** Parses the `--output` option. */
export function parseOutputFormat(text: string): OutputFormat {
  const format = OUTPUT_FORMATS.find(candidate => candidate === text)
  if (format === undefined) throw usageError(`--output is one of ${OUTPUT_FORMATS.join(', ')}`)
  return format
}

/** Prints a document in the given format. `toTable` is called only for tables and CSV. */
export function printDocument(
  environment: CommandEnvironment,
  format: OutputFormat,
  document: unknown,
  toTable: () => Table,
): void {
  switch (format) {
    case 'json':
      return environment.print(JSON.stringify(document, null, 2))
    case 'yaml':
      return environment.print(stringify(document).trimEnd())
    case 'csv':
      return environment.print(renderCsv(toTable()))
    case 'table':
      return environment.print(renderTable(toTable(), environment.isTerminal))
  }
}

/** Formats a value as a cell; an absent value gives an empty cell. */
export function formatCell(value: unknown): string {
  if (value === undefined || value === null) return ''
  return typeof value === 'object' ? JSON.stringify(value) : String(value)
}
