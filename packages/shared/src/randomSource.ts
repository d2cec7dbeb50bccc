/**
 * Random numbers and unique ids behind an interface, so that tests and simulations can repeat a
 * run.
 */

import { randomInt, randomUUID } from 'node:crypto'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'

/** Source of the random numbers for decisions; seeded in tests and benches. */
export interface RandomSource {
  /** Returns a number in [0, 1). */
  next(): number
  /** Returns an identifier that no other call on this source returns. */
  uniqueId(): string
}

/**
 * Number of values in [0, 1) that `SystemRandom` can return; below 2 ** 48, as `randomInt` needs.
 */
const FRACTION_STEPS = 2 ** 40

/** Random numbers and ids from the operating system; ids are unique across processes. */
export class SystemRandom implements RandomSource {
  next(): number {
    return randomInt(FRACTION_STEPS) / FRACTION_STEPS
  }

  uniqueId(): string {
    return randomUUID()
  }
}

/** Repeatable random numbers and ids: the same seed produces the same sequences. */
export class SeededRandom implements RandomSource {
  private readonly generator
  private issued = 0

  constructor(private readonly seed: number) {
    this.generator = xoroshiro128plus(seed)
  }

  next(): number {
    return uniformFloat64(this.generator)
  }

  uniqueId(): string {
    this.issued += 1
    return `${this.seed}-${this.issued}`
  }
}

/** Returns a random whole number in [0, bound). */
export function randomBelow(random: RandomSource, bound: number): number {
  return Math.floor(random.next() * bound)
}
