/**
 * The resources that a request holds and has to release. `onRefused` registers a callback that
 * undoes a step if the request turns out not to have run; `onEnd` registers a callback for the end
 * of the request, however the request ends.
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

  /** Marks the request as possibly run: drops the callbacks that `onRefused` registered so far. */
  commit(): void {
    this.refusals = []
  }

  /**
   * Runs the remaining callbacks once: first those for a refusal, then those for the end, in both
   * cases the last registered first.
   */
  close(): void {
    const steps = [...this.ends, ...this.refusals].reverse()
    this.refusals = []
    this.ends = []
    for (const step of steps) step()
  }
}
