/** Processor time of the main thread. */

import { readFileSync } from 'node:fs'
import { performance } from 'node:perf_hooks'

/** The kernel counts a thread's time in ticks of this many a second. */
const TICKS_PER_SECOND = 100
/** Places of user and system time after the command name (proc(5)). */
const USER_FIELD = 11
const SYSTEM_FIELD = 12

/**
 * Processor seconds that the main thread has used. Where the kernel does not tell, the time
 * for which its event loop was busy, which is an upper bound.
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
