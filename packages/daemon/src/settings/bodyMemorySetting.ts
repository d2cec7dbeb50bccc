/** The setting of both kinds of instance for the memory that bodies of callers' requests may occupy. */

import * as z from 'zod'

/** Megabytes (2^20 bytes); one body of legal size is always read. */
export const bodyMemoryMegabytes = z
  .number()
  .positive()
  .default(16)
  .describe('Memory for bodies of requests; beyond it, bodies that are still arriving are refused')

const BYTES_PER_MEGABYTE = 2 ** 20

/** Converts the setting to bytes. */
export function bodyMemoryBytes(megabytes: number): number {
  return megabytes * BYTES_PER_MEGABYTE
}
