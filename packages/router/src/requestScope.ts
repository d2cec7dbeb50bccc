/**
 * The resources that a request holds and has to release. A step that must be undone if the request
 * is refused registers with `onRefused`; a step that ends with the request registers with `onEnd`.
 */
export class RequestScope {
  private refusals: (() => void)[] = []
  private ends: (() => void)[] = []

  onRefused(undo: () => void): void {
    this.refusals.push(undo)
  }

  onEnd(finish: () => void): void {
    this.ends.push(finish)
  }

  /** Marks the request as possibly run, so that nothing is undone from here on. */
  commit(): void {
    this.refusals = []
  }

  /** Runs the remaining steps, last registered first. */
  close(): void {
    const steps = [...this.ends, ...this.refusals].reverse()
    this.refusals = []
    this.ends = []
    for (const step of steps) step()
  }
}
