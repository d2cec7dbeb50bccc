/**
 * What came from outside the process and was not of its form: rows, answers, messages. Each is
 * counted; the first from each source is a line of the log, since one broken writer may repeat
 * itself many times a second. Whoever reads such a thing leaves it out.
 */

import type { Logger } from './logger.js'

/** What was read, and whose word it was. */
export interface MalformedInput {
  /** What was expected, such as `row` or `loan`. */
  readonly form: string
  /** The row, address or caller that it came from. */
  readonly source: string
}

/** Sources that are remembered; beyond them there are only counts. */
const MAXIMUM_SOURCES = 1_000

/** Counts malformed input and tells of each source once. */
export class MalformedInputLog {
  private readonly loggedSources = new Set<string>()

  constructor(
    private readonly logger: Logger,
    private readonly count: () => void,
  ) {}

  note({ form, source }: MalformedInput): void {
    this.count()
    const name = `${form} ${source}`
    if (this.loggedSources.has(name) || this.loggedSources.size >= MAXIMUM_SOURCES) return
    this.loggedSources.add(name)
    this.logger.warn('malformed_form', { form, source })
  }
}
