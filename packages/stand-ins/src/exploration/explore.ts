/**
 * Runs scripts against the coordination code of the OpenAI-style kind under random schedules. A failure is
 * returned with the path that replays it.
 */

import fc from 'fast-check'
import { scriptArbitrary } from './script.js'
import type { Variant } from './variants.js'
import { GuaranteeViolation } from './checkers.js'
import { World } from './world.js'

/** The number of runs, their seed and the code under test. */
export interface ExploreOptions {
  readonly runs: number
  readonly seed: number
  readonly variant: Variant
  /** Whether a failing run is shrunk to a short one that is easier to read. Shrinking takes longer. */
  readonly shrink?: boolean
  /** If given, only a violation of this guarantee ends the exploration. For runs of broken variants. */
  readonly promise?: string
  /** The path of a failed run, to replay just that run of an earlier exploration. */
  readonly path?: string
}

/** The result of an exploration. */
export interface ExploreResult {
  readonly runs: number
  /** How often each kind of event happened, summed over all runs. */
  readonly coverage: Readonly<Record<string, number>>
  /** The first violation, with the path and the script that replay it. */
  readonly failure?: { readonly message: string; readonly path: string; readonly script: string }
}

/** Runs random scripts under random schedules. The same seed gives the same runs. */
export async function explore(options: ExploreOptions): Promise<ExploreResult> {
  const coverage: Record<string, number> = {}
  const property = fc.asyncProperty(fc.scheduler(), scriptArbitrary, async (scheduler, script) => {
    const world = new World(scheduler, script, options.variant)
    try {
      await world.run()
    } catch (thrown) {
      if (isRelevant(thrown, options.promise)) throw thrown
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

function isRelevant(thrown: unknown, guarantee: string | undefined): boolean {
  if (guarantee === undefined) return true
  return thrown instanceof GuaranteeViolation && thrown.guarantee === guarantee
}

function addUp(sums: Record<string, number>, counts: Readonly<Record<string, number>>): void {
  for (const [name, count] of Object.entries(counts)) sums[name] = (sums[name] ?? 0) + count
}
