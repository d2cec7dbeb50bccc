import { createHash } from 'node:crypto'
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
/** Has the same length as the text. */
const OTHER = TEXT.replace('/folder/ran', '/folder/not')
const RAN = { ran: 'ran' }

let folder: string
let program: string
let cache: string

beforeEach(() => {
  folder = mkdtempSync(join(tmpdir(), 'rackwalk-'))
  program = join(folder, 'program.js')
  cache = join(folder, 'program.cache')
  writeFileSync(program, TEXT)
  writeFileSync(cache, sealed(new Script(TEXT).createCachedData()))
})

afterEach(() => rmSync(folder, { recursive: true }))

describe('a program with a code cache', () => {
  it('is taken from its cache', () => {
    const compiled = compileProgram(program, cache)
    expect(compiled.isCached).toBe(true)
    expect(compiled.run()).toEqual(RAN)
  })

  it('is compiled without a cache if there is none', () => {
    const compiled = compileProgram(program, join(folder, 'other.cache'))
    expect(compiled.isCached).toBe(false)
    expect(compiled.run()).toEqual(RAN)
  })

  it.each([
    ['of another text', () => sealed(new Script(`${TEXT};`).createCachedData())],
    ['of a text as long', () => sealed(new Script(OTHER).createCachedData(), OTHER)],
    ['that is empty', () => Buffer.alloc(0)],
    ['that was cut off', () => readFileSync(cache).subarray(0, -64)],
    ['that was cut off before its code', () => readFileSync(cache).subarray(0, 16)],
    ['that was damaged', () => flipped(readFileSync(cache), 300)],
    ['that is something else', () => Buffer.from(TEXT)],
    // V8's own version tag follows the first word.
    ['of another engine', () => sealed(flipped(new Script(TEXT).createCachedData(), 4))],
  ])('is compiled anew with a cache %s', (_, made) => {
    writeFileSync(cache, made())
    const compiled = compileProgram(program, cache)
    expect(compiled.isCached).toBe(false)
    expect(compiled.run()).toEqual(RAN)
  })
})

/** A cache file as the build writes it. */
function sealed(code: Buffer, text = TEXT): Buffer {
  return Buffer.concat([createHash('sha256').update(text).update(code).digest(), code])
}

function flipped(bytes: Buffer, at: number): Buffer {
  const changed = Buffer.from(bytes)
  changed.writeUInt8(changed.readUInt8(at) ^ 0xff, at)
  return changed
}
