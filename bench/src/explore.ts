/**
 * `npm run explore -- --runs N --seed S`: explores N random schedules of the coordination code, in
 * addition to those that CI explores.
 */

import { cac } from 'cac'
import { BROKEN_VARIANTS, SOUND, explore } from '@rackwalk/stand-ins'

interface Flags {
  readonly runs: string
  readonly seed: string
  readonly variant: string
  readonly shrink?: boolean
  readonly promise?: string
  readonly path?: string
}

async function run(flags: Flags): Promise<void> {
  const variant = [SOUND, ...BROKEN_VARIANTS].find(({ name }) => name === flags.variant)
  if (variant === undefined) throw new Error(`unknown variant ${flags.variant}`)
  const started = performance.now()
  const options = { runs: Number(flags.runs), seed: Number(flags.seed), variant }
  const result = await explore({
    ...options,
    shrink: flags.shrink,
    promise: flags.promise,
    path: flags.path && String(flags.path),
  })
  const seconds = ((performance.now() - started) / 1000).toFixed(1)
  console.log(`${variant.name}: ${result.runs} runs from seed ${flags.seed} in ${seconds} s`)
  console.log(JSON.stringify(result.coverage))
  if (result.failure === undefined) return
  console.log(result.failure.message)
  console.log(`path ${result.failure.path}`)
  console.log(result.failure.script)
  process.exitCode = 1
}

const program = cac('explore')
program
  .command('', 'Explore random schedules of the coordination code under faults')
  .option('--runs <number>', 'Schedules', { default: '1000' })
  .option('--seed <number>', 'Seed', { default: '1' })
  .option('--variant <name>', 'Variant of the code to run', { default: 'sound' })
  .option('--path <path>', 'Replay the run whose path an exploration printed')
  .option('--promise <name>', 'Look for violations of this promise only')
  .option('--shrink', 'Shrink a failing run')
  .action((flags: Flags) => run(flags))
program.help()
program.parse()
