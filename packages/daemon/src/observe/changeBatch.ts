/**
 * Batches log lines about changes that occur together. A few changes are logged one by one; many, as at a start or
 * after an outage, are logged as one line with their counts: otherwise hundreds of instances that each log hundreds
 * of others would make up most of all log lines.
 */

/** One change, as logged. */
interface Change {
  /** The kind by which changes of an event are counted. */
  readonly kind: string
  readonly fields: Readonly<Record<string, unknown>>
}

/** Most changes of one event that are logged one by one. */
const LARGEST_LISTED = 3

/** Collects the changes of one turn of the event loop and logs them. */
export class ChangeBatch {
  private readonly changes = new Map<string, Change[]>()

  constructor(
    private readonly write: (event: string, fields: Readonly<Record<string, unknown>>) => void,
    private readonly schedule: (run: () => void) => void = queueMicrotask,
  ) {}

  /** Records one change; it is logged at the end of this turn, together with the turn's other changes. */
  note(event: string, change: Change): void {
    if (this.changes.size === 0) this.schedule(() => this.flush())
    const known = this.changes.get(event) ?? []
    known.push(change)
    this.changes.set(event, known)
  }

  private flush(): void {
    const gathered = [...this.changes]
    this.changes.clear()
    for (const [event, changes] of gathered) this.log(event, changes)
  }

  private log(event: string, changes: readonly Change[]): void {
    if (changes.length <= LARGEST_LISTED) {
      for (const { fields } of changes) this.write(event, fields)
      return
    }
    const counts: Record<string, number> = {}
    for (const { kind } of changes) counts[kind] = (counts[kind] ?? 0) + 1
    this.write(`${event}s`, { count: changes.length, ...counts })
  }
}
