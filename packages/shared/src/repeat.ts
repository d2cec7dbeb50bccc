/** Tasks that run again and again. */

import type { Clock, Timer } from './clock.js'
import type { Milliseconds } from './quantities.js'

/**
 * Runs a task after each delay until the returned timer is cancelled. A task that throws is run
 * again all the same; its error reaches the handler of uncaught exceptions.
 */
export function repeat(clock: Clock, delay: () => Milliseconds, run: () => void): Timer {
  let isCancelled = false
  let pending: Timer | undefined
  const schedule = (): void => {
    if (isCancelled) return
    pending = clock.after(delay(), () => {
      try {
        run()
      } finally {
        schedule()
      }
    })
  }
  schedule()
  return {
    cancel: () => {
      isCancelled = true
      pending?.cancel()
    },
  }
}
