/** Processor time of the main thread. */

import { readFileSync } from 'node:fs'
import { performance } from 'node:perf_hooks'

/** The kernel counts a thread's processor time in ticks of 1/100 s. */
const TICKS_PER_SECOND = 100
/** Positions of user and system time among the fields after the command name (proc(5)). */
const USER_FIELD = 11
const SYSTEM_FIELD = 12

/**
 * Returns the processor seconds that the main thread has used. If `/proc` cannot be read, returns
 * the time for which the event loop was busy, which is an upper bound.
 */
export function mainThreadSeconds(): number {
  try {
    const stat = readFileSync(`/proc/self/task/${process.pid}/stat`, 'utf8')
    const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ')
    const ticks = Number(fields[USER_FIELD]) + Number(fields[SYSTEM_FIELD])
    return ticks / TICKS_PER_SECOND
  } catch {
    return performance.eventLoopUtilization().active / 1000
  }
}
