import { describe, expect, it } from 'vitest'
import { BodyMemory } from '@rackwalk/router'
import type { BodyLease } from '@rackwalk/router'

const KIBIBYTE = 1_024

/** Appends a body in parts; returns whether all of it was taken. */
function fill(body: BodyLease, bytes: number, partBytes: number): boolean {
  for (let sent = 0; sent < bytes; sent += partBytes) {
    if (!body.append(Buffer.alloc(Math.min(partBytes, bytes - sent), 'x'))) return false
  }
  return true
}

describe('the memory for bodies', () => {
  it.each([
    ['in one part', 9_000, 9_000],
    ['in parts of one byte', 9_000, 1],
    ['in parts larger than a block', 300_000, 150_000],
    ['in no part', 0, 1],
  ])('returns a body %s as it was sent', (_, bytes, partBytes) => {
    const body = new BodyMemory(KIBIBYTE * KIBIBYTE).open()
    expect(fill(body, bytes, partBytes)).toBe(true)
    expect(body.finish().toString()).toBe('x'.repeat(bytes))
  })

  it('holds hundreds of small bodies of unknown size, however they were cut', () => {
    const memory = new BodyMemory(16 * KIBIBYTE * KIBIBYTE)
    const taken = Array.from({ length: 500 }, () => fill(memory.open(), 9_000, 1_400))
    expect(taken.filter(isTaken => !isTaken)).toEqual([])
  })

  it('gives up the oldest body that is still arriving, and none that has arrived', () => {
    const memory = new BodyMemory(300 * KIBIBYTE)
    const givenUp: string[] = []
    const open = (name: string) => {
      const body = memory.open(100 * KIBIBYTE)
      body.onGivenUp = () => givenUp.push(name)
      return body
    }
    const arrived = open('arrived')
    fill(arrived, 64 * KIBIBYTE, 64 * KIBIBYTE)
    arrived.finish()
    const unfinished = ['oldest', 'older', 'newer'].map(open)
    for (const body of unfinished) fill(body, 64 * KIBIBYTE, 64 * KIBIBYTE)
    const newest = open('newest')
    expect(fill(newest, 64 * KIBIBYTE, 32 * KIBIBYTE)).toBe(true)
    expect(givenUp).toEqual(['oldest'])
    newest.release()
    expect(fill(open('next'), 64 * KIBIBYTE, 32 * KIBIBYTE)).toBe(true)
    expect(givenUp).toEqual(['oldest'])
  })

  it('takes a body that is alone, also if it is larger than the memory', () => {
    const body = new BodyMemory(100 * KIBIBYTE).open()
    expect(fill(body, 1_000 * KIBIBYTE, 64 * KIBIBYTE)).toBe(true)
    expect(body.finish()).toHaveLength(1_000 * KIBIBYTE)
  })

  it('refuses a body if only bodies that have arrived could make room', () => {
    const memory = new BodyMemory(100 * KIBIBYTE)
    const arrived = memory.open()
    fill(arrived, 90 * KIBIBYTE, 64 * KIBIBYTE)
    arrived.finish()
    expect(fill(memory.open(), 90 * KIBIBYTE, 64 * KIBIBYTE)).toBe(false)
  })
})
