/**
 * Runs scripts of the OpenAI-style kind's coordination under random schedules, and gives what broke with
 * the way to it.
 */

import fc from 'fast-check'
import { scriptArbitrary } from './script.js'
import type { Variant } from './variants.js'
import { PromiseBroken } from './checkers.js'
import { World } from './world.js'

/** How many runs, and from which seed. */
export interface ExploreOptions {
  readonly runs: number
  readonly seed: number
  readonly variant: Variant
  /** Shrinks a failing run; slower, for people who have to read it. */
  readonly shrink?: boolean
  /** Only a breach of this promise ends the exploration; for controls. */
  readonly promise?: string
  /** Replays one run of an earlier exploration. */
  readonly path?: string
}

/** What came of an exploration. */
export interface ExploreResult {
  readonly runs: number
  /** How often each thing happened in all runs. */
  readonly coverage: Readonly<Record<string, number>>
  /** The first promise that a run broke, with what replays it. */
  readonly failure?: { readonly message: string; readonly path: string; readonly script: string }
}

/** Runs random scripts under random schedules; the same seed gives the same runs. */
export async function explore(options: ExploreOptions): Promise<ExploreResult> {
  const coverage: Record<string, number> = {}
  const property = fc.asyncProperty(fc.scheduler(), scriptArbitrary, async (scheduler, script) => {
    const world = new World(scheduler, script, options.variant)
    try {
      await world.run()
    } catch (thrown) {
      if (isOfInterest(thrown, options.promise)) throw thrown
    }
    addUp(coverage, world.coverage())
  })
  const details = await fc.check(property, {
    numRuns: options.runs,
    seed: options.seed,
    path: options.path,
    endOnFailure: !options.shrink,
  })
  if (!details.failed) return { runs: details.numRuns, coverage }
  const error = details.errorInstance
  const message = error instanceof Error ? (error.stack ?? error.message) : String(error)
  return {
    runs: details.numRuns,
    coverage,
    failure: {
      message,
      path: details.counterexamplePath ?? '',
      script: JSON.stringify(details.counterexample?.[1]),
    },
  }
}

function isOfInterest(thrown: unknown, promise: string | undefined): boolean {
  if (promise === undefined) return true
  return thrown instanceof PromiseBroken && thrown.promise === promise
}

function addUp(sums: Record<string, number>, counts: Readonly<Record<string, number>>): void {
  for (const [name, count] of Object.entries(counts)) sums[name] = (sums[name] ?? 0) + count
}
