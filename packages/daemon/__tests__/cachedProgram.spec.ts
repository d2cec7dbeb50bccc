import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { Script } from 'node:vm'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { compileProgram } from '@rackwalk/daemon'

const TEXT = `(function (require, module) {
  const { basename } = require('node:path')
  module.exports = { ran: basename('/folder/ran') }
})`
const RAN = { ran: 'ran' }

let folder: string
let program: string
let cache: string

beforeEach(() => {
  folder = mkdtempSync(join(tmpdir(), 'rackwalk-'))
  program = join(folder, 'program.js')
  cache = join(folder, 'program.cache')
  writeFileSync(program, TEXT)
  writeFileSync(cache, new Script(TEXT).createCachedData())
})

afterEach(() => rmSync(folder, { recursive: true }))

describe('a program with a code cache', () => {
  it('is taken from its cache', () => {
    const compiled = compileProgram(program, cache)
    expect(compiled.isCached).toBe(true)
    expect(compiled.run()).toEqual(RAN)
  })

  it('is compiled anew where there is no cache', () => {
    const compiled = compileProgram(program, join(folder, 'other.cache'))
    expect(compiled.isCached).toBe(false)
    expect(compiled.run()).toEqual(RAN)
  })

  it.each([
    ['of another text', () => new Script(`${TEXT};`).createCachedData()],
    ['that is empty', () => Buffer.alloc(0)],
    ['that was cut off', () => readFileSync(cache).subarray(0, 64)],
    ['that is something else', () => Buffer.from(TEXT)],
    // The engine's own mark of its version and flags stands behind the first word.
    ['of another engine', () => flipped(readFileSync(cache), 4)],
  ])('is compiled anew with a cache %s', (_, made) => {
    writeFileSync(cache, made())
    const compiled = compileProgram(program, cache)
    expect(compiled.isCached).toBe(false)
    expect(compiled.run()).toEqual(RAN)
  })
})

function flipped(bytes: Buffer, at: number): Buffer {
  const changed = Buffer.from(bytes)
  changed.writeUInt8(changed.readUInt8(at) ^ 0xff, at)
  return changed
}
