import { spawnSync } from 'node:child_process'
import { existsSync, mkdirSync, readFileSync } from 'node:fs'
import { judgeRun, readKnownRed } from './knownRed.mjs'

/**
 * Runs all tests and compares the results with KNOWN-RED.txt. A listed test may fail and is printed;
 * a test that is not listed may not fail. A listed test that passes must be removed from the list,
 * unless its line says that it fails sometimes.
 */
const LIST = 'KNOWN-RED.txt'
const RESULTS = '.cache/test-results.json'

mkdirSync('.cache', { recursive: true })
const reporters = ['--reporter=default', '--reporter=json', `--outputFile.json=${RESULTS}`]
const run = spawnSync('npx', ['vitest', 'run', ...reporters], { stdio: 'inherit' })
if (!existsSync(RESULTS)) process.exit(run.status ?? 1)

const known = readKnownRed(existsSync(LIST) ? readFileSync(LIST, 'utf8') : '')
const verdict = judgeRun(known, JSON.parse(readFileSync(RESULTS, 'utf8')).testResults)
for (const message of verdict.messages) console.log(message)

const skipped = verdict.skipped > 0 ? `, ${verdict.skipped} skipped` : ''
console.log(`\n${verdict.passed} passed, ${verdict.faults} failed${skipped}`)
const ranAll = run.status === 0 || (verdict.skipped > 0 && verdict.unexpected === 0)
process.exit(verdict.faults === 0 && ranAll && verdict.passed > 0 ? 0 : 1)
