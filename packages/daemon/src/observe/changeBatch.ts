/**
 * Lines about changes that come together. A few are told one by one; many, as at a start or after an outage, in one
 * line that counts them: a line for each of hundreds of instances on each of hundreds would be most of all lines.
 */

/** One change, as a line tells of it. */
interface Change {
  /** What changes of an event are counted by. */
  readonly kind: string
  readonly fields: Readonly<Record<string, unknown>>
}

/** Changes of one event that are told one by one where no more come together. */
const LARGEST_LISTED = 3

/** Gathers the changes of one turn of the event loop and tells them. */
export class ChangeBatch {
  private readonly changes = new Map<string, Change[]>()

  constructor(
    private readonly write: (event: string, fields: Readonly<Record<string, unknown>>) => void,
    private readonly schedule: (run: () => void) => void = queueMicrotask,
  ) {}

  /** Notes one change; its line is written when the others of this turn are known. */
  note(event: string, change: Change): void {
    if (this.changes.size === 0) this.schedule(() => this.flush())
    const known = this.changes.get(event) ?? []
    known.push(change)
    this.changes.set(event, known)
  }

  private flush(): void {
    const gathered = [...this.changes]
    this.changes.clear()
    for (const [event, changes] of gathered) this.tell(event, changes)
  }

  private tell(event: string, changes: readonly Change[]): void {
    if (changes.length <= LARGEST_LISTED) {
      for (const { fields } of changes) this.write(event, fields)
      return
    }
    const counts: Record<string, number> = {}
    for (const { kind } of changes) counts[kind] = (counts[kind] ?? 0) + 1
    this.write(`${event}s`, { count: changes.length, ...counts })
  }
}
