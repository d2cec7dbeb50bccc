/**
 * Determines whether the heads of an answer ended with CR LF CR LF. The parser of node:http also accepts CR LF LF, and
 * CR LF CR before any byte, so a head that was truncated after a line could pass for a complete one without its length.
 */

const CARRIAGE_RETURN = 0x0d
const LINE_FEED = 0x0a

type Position =
  /** Before the first line of a head; blank lines may precede it. */
  | 'before-head'
  | 'in-line'
  /** After the CR of a line. */
  | 'in-line-end'
  | 'line-start'
  /** After a CR at the start of a line. */
  | 'in-head-end'
  /** After a line end other than CR LF; nothing is read any more. */
  | 'malformed'

/** The positions after a CR, after a LF and after any other byte. */
type NextPositions = readonly [afterReturn: Position, afterFeed: Position, afterOther: Position]

const NEXT_POSITIONS: Readonly<Record<Position, NextPositions>> = {
  'before-head': ['before-head', 'before-head', 'in-line'],
  'in-line': ['in-line-end', 'malformed', 'in-line'],
  'in-line-end': ['malformed', 'line-start', 'malformed'],
  'line-start': ['in-head-end', 'malformed', 'in-line'],
  'in-head-end': ['malformed', 'before-head', 'malformed'],
  malformed: ['malformed', 'malformed', 'malformed'],
}

/** Reads the bytes of a connection from the beginning of an answer on. */
export class HeadLines {
  private position: Position = 'before-head'
  private heads = 0
  /** Read only when needed, since most of it may be the body. */
  private newest: Buffer = Buffer.alloc(0)

  /** Adds received bytes. */
  add(bytes: Buffer): void {
    this.read(Number.POSITIVE_INFINITY)
    this.newest = bytes
  }

  /** Whether the bytes so far begin with this many heads that ended with CR LF CR LF, interim ones included. */
  haveEnded(heads: number): boolean {
    this.read(heads)
    return this.heads >= heads
  }

  private read(heads: number): void {
    let offset = 0
    while (offset < this.newest.length && this.heads < heads) {
      if (this.position === 'in-line') offset = this.beforeNextFeed(offset)
      this.advance(this.newest[offset] ?? 0)
      offset += 1
    }
    this.newest = this.newest.subarray(offset)
  }

  /** Returns the offset of the byte before the next LF, or of the last byte: how a line ends is all that matters of it. */
  private beforeNextFeed(offset: number): number {
    const feed = this.newest.indexOf(LINE_FEED, offset)
    const end = feed < 0 ? this.newest.length : feed
    return Math.max(offset, end - 1)
  }

  private advance(byte: number): void {
    const [afterReturn, afterFeed, afterOther] = NEXT_POSITIONS[this.position]
    const wasInHeadEnd = this.position === 'in-head-end'
    if (byte === CARRIAGE_RETURN) this.position = afterReturn
    else this.position = byte === LINE_FEED ? afterFeed : afterOther
    if (wasInHeadEnd && this.position === 'before-head') this.heads += 1
  }
}
