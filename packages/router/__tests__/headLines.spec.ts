import { describe, expect, it } from 'vitest'
import { HeadLines } from '../src/gateway/headLines.js'

/** Guards against heads that were truncated after a line and pass for complete ones, since a parser accepts other line ends. */

const LINES = 'HTTP/1.1 200 OK\r\nX-Id: 1\r\n'
const INTERIM = 'HTTP/1.1 103 Early Hints\r\nLink: x\r\n'

function haveEnded(wire: string, split: number, heads: number): boolean {
  const lines = new HeadLines()
  lines.add(Buffer.from(wire.slice(0, split)))
  if (split < wire.length) lines.add(Buffer.from(wire.slice(split)))
  return lines.haveEnded(heads)
}

function atEachSplit(wire: string, heads: number): ReadonlySet<boolean> {
  const splits = Array.from({ length: wire.length + 1 }, (_, split) => split)
  return new Set(splits.map(split => haveEnded(wire, split, heads)))
}

describe('a head', () => {
  it.each([
    ['CR LF CR LF', `${LINES}\r\n`, 1],
    ['CR LF CR LF before a body of line ends', `${LINES}\r\n\n\n\r\n\r\n\n`, 1],
    ['CR LF CR LF after an interim head', `${INTERIM}\r\n${LINES}\r\n`, 2],
    ['CR LF CR LF after a blank line', `\r\n${LINES}\r\n`, 1],
  ])('has ended with %s, however it is split', (_, wire, heads) => {
    expect([...atEachSplit(wire, heads)]).toEqual([true])
  })

  it.each([
    ['CR LF', LINES, 1],
    ['CR LF CR', `${LINES}\r`, 1],
    ['CR LF LF', `${LINES}\n`, 1],
    ['CR LF LF, before a body with CR LF CR LF', `${LINES}\nbody\r\n\r\nbody\r\n\r\n`, 1],
    ['CR LF CR and a byte, before a body with CR LF CR LF', `${LINES}\rxbody\r\n\r\n`, 1],
    ['LF LF', `${LINES}X: y\n\n`, 1],
    ['CR LF LF after an interim head', `${INTERIM}\r\n${LINES}\n\r\n\r\n`, 2],
    ['CR LF CR LF after an interim head that has not', `${INTERIM}\n${LINES}\r\n\r\n`, 2],
    ['nothing, after an interim head', `${INTERIM}\r\n`, 2],
  ])('has not ended with %s, however it is split', (_, wire, heads) => {
    expect([...atEachSplit(wire, heads)]).toEqual([false])
  })
})
