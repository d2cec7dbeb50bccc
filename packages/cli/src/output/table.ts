/** Renders tables of text. */

import { colors } from 'consola/utils'

/** A table of text. Every row has as many cells as there are headings. */
export interface Table {
  readonly headings: readonly string[]
  readonly rows: readonly (readonly string[])[]
}

const GAP = '  '

/** Renders a table in aligned columns. Headings are emphasized only on a terminal. */
export function renderTable(table: Table, isTerminal: boolean): string {
  const widths = table.headings.map((heading, column) =>
    Math.max(heading.length, ...table.rows.map(row => row[column]?.length ?? 0)),
  )
  const headings = renderRow(
    table.headings.map(heading => heading.toUpperCase()),
    widths,
  )
  const rows = table.rows.map(row => renderRow(row, widths))
  return [isTerminal ? colors.bold(headings) : headings, ...rows].join('\n')
}

/** Renders a table as comma-separated values (RFC 4180). */
export function renderCsv(table: Table): string {
  return [table.headings, ...table.rows].map(row => row.map(csvCell).join(',')).join('\n')
}

function renderRow(cells: readonly string[], widths: readonly number[]): string {
  return cells
    .map((cell, column) => cell.padEnd(widths[column] ?? 0))
    .join(GAP)
    .trimEnd()
}

function csvCell(cell: string): string {
  return /[",\n]/.test(cell) ? `"${cell.replaceAll('"', '""')}"` : cell
}
