import { spawnSync } from 'node:child_process'
import { existsSync, mkdirSync, readFileSync, rmSync } from 'node:fs'
import { judgeRun, readKnownRed } from './knownRed.mjs'

/**
 * Runs all tests and compares the results with KNOWN-RED.txt. A listed test may fail and is printed;
 * a test that is not listed may not fail. A listed test that passes must be removed from the list,
 * unless its line says that it fails sometimes.
 */
const LIST = 'KNOWN-RED.txt'
/** Specs that measure memory come last, one at a time, with nothing beside them. */
const CONFIGURATIONS = ['vitest.config.ts', 'vitest.isolated.config.ts']

const runs = CONFIGURATIONS.map(runSpecs)
const known = readKnownRed(existsSync(LIST) ? readFileSync(LIST, 'utf8') : '')
const verdict = judgeRun(
  known,
  runs.flatMap(({ results }) => results),
)
for (const message of verdict.messages) console.log(message)

const skipped = verdict.skipped > 0 ? `, ${verdict.skipped} skipped` : ''
console.log(`\n${verdict.passed} passed, ${verdict.faults} failed${skipped}`)
const haveRun = runs.every(({ status }) => status === 0)
const ranAll = haveRun || (verdict.skipped > 0 && verdict.unexpected === 0)
process.exit(verdict.faults === 0 && ranAll && verdict.passed > 0 ? 0 : 1)

/** Runs the specs of one configuration; ends this process if they could not be run. */
function runSpecs(configuration) {
  const file = `.cache/results-of-${configuration}.json`
  mkdirSync('.cache', { recursive: true })
  rmSync(file, { force: true })
  const reporters = ['--reporter=default', '--reporter=json', `--outputFile.json=${file}`]
  const arguments_ = ['vitest', 'run', '--config', configuration, ...reporters]
  const { status } = spawnSync('npx', arguments_, { stdio: 'inherit' })
  if (!existsSync(file)) process.exit(status ?? 1)
  return { status, results: JSON.parse(readFileSync(file, 'utf8')).testResults }
}
