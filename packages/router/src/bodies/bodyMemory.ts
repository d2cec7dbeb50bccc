/**
 * The memory of this process for the bodies of callers' requests. Counts what each body occupies from its first byte to
 * the end of its request, and gives bodies up when the memory is in use; the rule is in
 * decisions/admitting/bodyEviction. Owns the bodies and their blocks.
 */

import { bodiesToGiveUp } from '@rackwalk/decisions'
import type { HeldBody } from '@rackwalk/decisions'
import type { Bytes } from '@rackwalk/shared'
import { BLOCK_BYTES, BlockPool } from './blockPool.js'

/** Size of the first block of a body whose size is not known, unless more arrives at once. */
const LEAST_BLOCK_BYTES: Bytes = 1_024

/** One body in this memory. */
export interface BodyLease {
  /** Called once if the body is given up. */
  onGivenUp: () => void
  /** Bytes of the body that were appended. */
  readonly length: Bytes
  /** Copies a part of the body, which may give this body up or others; false if it gave up this one. */
  append(part: Buffer): boolean
  /** The body has arrived completely, and is no longer given up. Returns it in one buffer. */
  finish(): Buffer
  /** Frees the memory. */
  release(): void
}

/** The memory for bodies of one process, of `capacity` bytes. */
export class BodyMemory {
  /** In order of their arrival. */
  private readonly bodies = new Set<Body>()
  private readonly blocks = new BlockPool()
  private used: Bytes = 0

  constructor(private readonly capacity: Bytes) {}

  /** Begins to count a body, which occupies nothing yet. `declaredBytes` is undefined if its size is not known. */
  open(declaredBytes?: Bytes): BodyLease {
    const body: Body = new Body(this.blocks, declaredBytes ?? 0, {
      reserve: bytes => this.reserve(body, bytes),
      release: () => this.release(body),
    })
    this.bodies.add(body)
    return body
  }

  private reserve(body: Body, bytes: Bytes): boolean {
    if (!this.bodies.has(body)) return false
    const missing = this.used + bytes - this.capacity
    const givenUp = missing > 0 ? bodiesToGiveUp(this.bodies, body, missing) : []
    for (const other of givenUp) {
      this.release(other)
      other.onGivenUp()
    }
    if (givenUp.includes(body)) return false
    body.bytes += bytes
    this.used += bytes
    return true
  }

  private release(body: Body): void {
    if (!this.bodies.delete(body)) return
    this.used -= body.bytes
    body.freeBlocks()
    if (this.used === 0) this.blocks.clear()
  }
}

/** What a body asks of the memory. */
interface BodyOwner {
  readonly reserve: (bytes: Bytes) => boolean
  readonly release: () => void
}

/**
 * Collects the parts of a body in blocks. A buffer of its own for each part would cost some hundred bytes for a part of
 * one byte, and keep the whole block that was read from the socket.
 */
class Body implements BodyLease, HeldBody {
  bytes: Bytes = 0
  hasArrived = false
  length: Bytes = 0
  onGivenUp: () => void = () => {}
  private parts: Buffer[] = []
  /** Bytes in use of the last block. */
  private filled: Bytes = 0

  constructor(
    private readonly blocks: BlockPool,
    private readonly expectedBytes: Bytes,
    private readonly owner: BodyOwner,
  ) {}

  append(part: Buffer): boolean {
    for (let copied = 0; copied < part.length;) {
      const block = this.blockWithRoom(part.length)
      if (block === undefined) return false
      const count = part.copy(block, this.filled, copied)
      this.filled += count
      this.length += count
      copied += count
    }
    return true
  }

  finish(): Buffer {
    this.hasArrived = true
    const [first] = this.parts
    if (first === undefined) return Buffer.alloc(0)
    if (this.parts.length === 1) return first.subarray(0, this.length)
    const whole = Buffer.allocUnsafeSlow(this.length)
    this.copyTo(whole)
    this.freeBlocks()
    return whole
  }

  release(): void {
    this.owner.release()
  }

  freeBlocks(): void {
    const [, ...others] = this.parts
    // A request in progress may still use the first block, which can be the whole body.
    for (const block of others) if (block.length === BLOCK_BYTES) this.blocks.giveBack(block)
    this.parts = []
  }

  /** Returns the last block if it has room, or else a new one; undefined if the memory for it was refused. */
  private blockWithRoom(bytes: Bytes): Buffer | undefined {
    const last = this.parts.at(-1)
    if (last !== undefined && this.filled < last.length) return last
    const size =
      last === undefined ? this.firstBytes(bytes) : Math.min(2 * last.length, BLOCK_BYTES)
    if (!this.owner.reserve(size)) return undefined
    const isPooled = last !== undefined && size === BLOCK_BYTES
    const block = isPooled ? this.blocks.take() : Buffer.allocUnsafeSlow(size)
    this.parts.push(block)
    this.filled = 0
    return block
  }

  /** Size of the first block: most bodies fit into one that is no larger than they are. Further ones double. */
  private firstBytes(bytes: Bytes): Bytes {
    const expected = this.expectedBytes > 0 ? this.expectedBytes : LEAST_BLOCK_BYTES
    return Math.min(BLOCK_BYTES, Math.max(bytes, expected))
  }

  private copyTo(whole: Buffer): void {
    let position = 0
    for (const block of this.parts) position += block.copy(whole, position)
  }
}
