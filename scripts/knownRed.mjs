/**
 * Compares the results of a test run with the list of known failures. A line of the list is
 * `test name | command, seed and what was seen | issue`, with the test's name as vitest prints it. A
 * fourth field `sometimes` marks a test that may pass or fail. A line whose name is `review/N` stands for a case of the
 * review, which is a script: it is printed and counts as a line, and its folder must exist.
 */

import { existsSync } from 'node:fs'

const SOMETIMES = 'sometimes'
/** A line that begins so names the folder of a case of the review, which is no test of vitest. */
const REVIEW_CASE = /^review\/\d+$/
const LARGEST_LIST = 10

/** Parses the list of known failures. Returns its entries by test name. */
export function readKnownRed(text) {
  const lines = text.split('\n').filter(line => line.trim() !== '')
  return new Map(
    lines.map(line => {
      const [name, , , mark] = line.split('|').map(field => field.trim())
      return [name, { line, failsSometimes: mark === SOMETIMES }]
    }),
  )
}

/**
 * Judges a test run; `files` are the `testResults` of vitest's JSON report. Faults are failures that
 * are not listed, files that did not load, listed tests that pass without being marked `sometimes`,
 * listed tests that did not run, cases
 * of the review whose folder is gone, and lines of the list beyond `LARGEST_LIST`.
 */
export function judgeRun(known, files, exists = existsSync) {
  const cases = [...known.keys()].filter(name => REVIEW_CASE.test(name))
  const goneCases = cases.filter(name => !exists(name))
  const tests = files.flatMap(file => file.assertionResults)
  const unloaded = files.filter(isUnloaded).length
  const passed = tests.filter(({ status }) => status === 'passed')
  const failed = tests.filter(({ status }) => status === 'failed')
  const listed = failed.filter(({ fullName }) => known.has(fullName))
  const passing = passed.filter(({ fullName }) => known.has(fullName))
  const fixed = passing.filter(({ fullName }) => !known.get(fullName).failsSometimes)
  const ran = new Set([...passed, ...failed].map(({ fullName }) => fullName))
  const notRun = [...known.keys()].filter(name => !ran.has(name) && !cases.includes(name))
  const excess = Math.max(0, known.size - LARGEST_LIST)
  const unexpected = failed.length - listed.length + unloaded
  return {
    passed: passed.length,
    skipped: listed.length,
    unexpected,
    faults: unexpected + fixed.length + notRun.length + goneCases.length + excess,
    messages: [
      ...listed.map(({ fullName }) => `known red: ${known.get(fullName).line}`),
      ...passing
        .filter(({ fullName }) => known.get(fullName).failsSometimes)
        .map(({ fullName }) => `known red, passed this time: ${known.get(fullName).line}`),
      ...fixed.map(({ fullName }) => `listed but passes: ${fullName}`),
      ...cases.map(name => `known red, not run here: ${known.get(name).line}`),
      ...goneCases.map(name => `listed but gone: ${name}`),
      ...notRun.map(name => `listed but not run: ${name}`),
      ...(excess > 0 ? [`the list has more than ${LARGEST_LIST} lines`] : []),
    ],
  }
}

/** Whether a test file failed to load. Such a file has no test results, but counts as a failure. */
function isUnloaded(file) {
  return file.status === 'failed' && file.assertionResults.length === 0
}
