#!/usr/bin/env node
/** Entry point of `rackwalk`. */

import { readFile } from 'node:fs/promises'
import { runProgram } from './program.js'

process.exitCode = await runProgram(process.argv.slice(2), {
  variables: process.env,
  isTerminal: process.stdout.isTTY === true,
  print: text => void process.stdout.write(`${text}\n`),
  printError: text => void process.stderr.write(`${text}\n`),
  readFile: path => readFile(path === '-' ? '/dev/stdin' : path, 'utf8'),
  now: () => Date.now(),
})
