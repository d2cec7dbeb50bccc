/** Randomness and unique ids as an interface, so that tests and simulations can repeat a run. */

import { randomInt, randomUUID } from 'node:crypto'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'

/** Source of the random choices in decisions; seeded in tests and benches. */
export interface RandomSource {
  /** Returns a number in [0, 1). */
  next(): number
  /** Returns an identifier that no other call returns. */
  uniqueId(): string
}

const FRACTION_STEPS = 2 ** 40

/** Random numbers of the operating system. */
export class SystemRandom implements RandomSource {
  next(): number {
    return randomInt(FRACTION_STEPS) / FRACTION_STEPS
  }

  uniqueId(): string {
    return randomUUID()
  }
}

/** Repeatable random numbers: the same seed produces the same sequence. */
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

/** Returns a whole number in [0, bound). */
export function randomBelow(random: RandomSource, bound: number): number {
  return Math.floor(random.next() * bound)
}
