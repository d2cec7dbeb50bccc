/**
 * Blocks of memory for bodies that are larger than one block. Freed blocks are used again: buffers that are left to the
 * garbage collector occupy memory until it has run, which a crowd of large bodies outpaces.
 */

import type { Bytes } from '@rackwalk/shared'

export const BLOCK_BYTES: Bytes = 64 * 1024

/** Hands out blocks of `BLOCK_BYTES`. */
export class BlockPool {
  private free: Buffer[] = []

  take(): Buffer {
    return this.free.pop() ?? Buffer.allocUnsafeSlow(BLOCK_BYTES)
  }

  giveBack(block: Buffer): void {
    this.free.push(block)
  }

  /** Leaves the free blocks to the garbage collector. */
  clear(): void {
    this.free = []
  }
}
