/** Prints documents as a table, JSON or YAML. */

import { stringify } from 'yaml'
import type { CommandEnvironment } from '../environment.js'
import { usageError } from '../errors.js'
import type { Table } from './table.js'
import { renderCsv, renderTable } from './table.js'

const OUTPUT_FORMATS = ['table', 'json', 'yaml', 'csv'] as const
/** How documents are printed. */
export type OutputFormat = (typeof OUTPUT_FORMATS)[number]

/** Checks the `--output` option. */
export function parseOutputFormat(text: string): OutputFormat {
  const format = OUTPUT_FORMATS.find(candidate => candidate === text)
  if (format === undefined) throw usageError(`--output is one of ${OUTPUT_FORMATS.join(', ')}`)
  return format
}

/** Prints a document in the wanted format; `toTable` is asked for a table only. */
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

/** A value as a cell: nothing for what is absent. */
export function formatCell(value: unknown): string {
  if (value === undefined || value === null) return ''
  return typeof value === 'object' ? JSON.stringify(value) : String(value)
}
