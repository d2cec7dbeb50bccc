/**
 * Input from outside the process that could not be decoded: rows, answers, messages. Each occurrence is counted, but
 * only the first from each source is logged, since one faulty writer may repeat itself many times a second. The
 * reader ignores the input.
 */

import type { Resource } from '@rackwalk/coordination'
import type { Logger } from './logger.js'

/** What was expected, and where the input came from. */
export interface MalformedInput {
  /** The expected form, such as `row` or `loan`. */
  readonly form: string
  /** The row, address or caller that the input came from. */
  readonly source: string
}

/** Sources that are remembered; input from further sources is only counted. */
const MAXIMUM_SOURCES = 1_000

/** Counts malformed input and logs each source once. */
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

  /** Notes a resource whose spec cannot be read. */
  readonly noteResource = ({ kind, metadata }: Resource): void => {
    this.note({ form: 'resource', source: `${kind}/${metadata.name}` })
  }
}
