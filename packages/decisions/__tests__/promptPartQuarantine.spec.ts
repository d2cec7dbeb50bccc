import { describe, expect, it } from 'vitest'
import { PromptPartQuarantine } from '@rackwalk/decisions'
import type { QuarantineVerdict } from '@rackwalk/decisions'
import { asId } from '@rackwalk/shared'
import type { EndpointStart, PromptPartKey } from '@rackwalk/shared'

const SECOND = 1_000

function keys(text: string): readonly PromptPartKey[] {
  return text.split(' ').map(part => asId<PromptPartKey>(part))
}

/** A believer whose clock the test sets by its steps. */
class Play {
  readonly parts = new PromptPartQuarantine()
  private now = 0
  private starts = 0

  wait(milliseconds: number): this {
    this.now += milliseconds
    return this
  }

  /** An endpoint ends under a request with these parts, a second after what came before. */
  end(text: string, after = SECOND): this {
    this.now += after
    this.starts += 1
    const start = asId<EndpointStart>(`start-${this.starts}`)
    this.parts.noteCrash({ start, parts: keys(text), ageMilliseconds: 0 }, this.now)
    return this
  }

  /** Requests with these parts are answered. */
  answer(text: string, count = 1): this {
    for (let index = 0; index < count; index += 1) this.parts.noteAnswered(keys(text))
    return this
  }

  verdict(text: string): QuarantineVerdict {
    return this.parts.verdict(keys(text), this.now)
  }
}

describe('a request of which a part was at ends of endpoints', () => {
  it('is sent, isolated and refused by the ends since the last answer with that part', () => {
    const play = new Play()
    const verdicts = [0, 1, 2, 3].map(count => {
      if (count > 0) play.end('shared deadly').answer('shared topic', 2)
      return play.verdict('shared deadly')
    })
    expect(verdicts).toEqual(['send', 'send', 'isolate', 'refuse'])
    expect(play.verdict('shared topic')).toBe('send')
    expect(play.verdict('shared')).toBe('send')
  })

  it('is refused wherever the part stands, and beside parts that were never seen', () => {
    const play = new Play()
    for (const text of ['deadly a b', 'a deadly b', 'a b deadly']) play.end(text).answer('a b c', 2)
    expect(play.verdict('deadly')).toBe('refuse')
    expect(play.verdict('new deadly newer')).toBe('refuse')
    expect(play.verdict('a b')).toBe('send')
  })

  it('is not refused for ends of one moment: their cause is another one', () => {
    const play = new Play()
    for (let count = 0; count < 6; count += 1) play.end('shared topic', 10)
    play.answer('other', 5)
    expect(play.verdict('shared topic')).toBe('send')
  })

  it('is refused sooner where it was sent as suspected each time: that went alone', () => {
    const play = new Play()
    const isolated = (count: number) => ({
      start: asId<EndpointStart>(`alone-${count}`),
      parts: keys('topic'),
      wasIsolated: true,
      ageMilliseconds: 0,
    })
    play.end('topic', 10).answer('other', 5)
    for (const count of [1, 2]) play.parts.noteCrash(isolated(count), 20 * count)
    expect(play.verdict('topic')).toBe('refuse')
  })

  it('is not refused while nothing else is answered either', () => {
    const play = new Play().end('shared').end('shared').end('shared').end('shared')
    expect(play.verdict('shared')).toBe('isolate')
    expect(play.answer('other', 3).verdict('shared')).toBe('refuse')
  })

  it('is sent where the part was answered in between', () => {
    const play = new Play()
      .end('topic')
      .end('topic')
      .answer('topic')
      .end('topic')
      .answer('other', 9)
    expect(play.verdict('topic')).toBe('send')
  })

  it('is not held for ends that were told again, or late, after the part was answered', () => {
    const play = new Play().end('topic').end('topic').answer('topic')
    const again = ['start-1', 'start-2'].map(start => asId<EndpointStart>(start))
    for (const start of again) {
      play.parts.noteCrash({ start, parts: keys('topic'), ageMilliseconds: 0 }, 10 * SECOND)
    }
    expect(play.end('topic').answer('other', 9).verdict('topic')).toBe('send')
  })

  it('is tried where another part, which it lacks, was at all the same ends', () => {
    const play = new Play()
    for (let count = 0; count < 3; count += 1) play.end('deadly beside').answer('other', 2)
    expect(play.verdict('deadly beside')).toBe('refuse')
    expect(play.verdict('beside topic')).toBe('isolate')
    expect(play.answer('beside topic').verdict('beside topic')).toBe('send')
    expect(play.verdict('deadly topic')).toBe('refuse')
  })

  it('is refused where it was tried so and ended an endpoint', () => {
    const play = new Play()
    for (let count = 0; count < 3; count += 1) play.end('deadly beside').answer('other', 2)
    play.end('deadly topic').answer('other topic')
    expect(play.verdict('deadly')).toBe('refuse')
    expect(play.verdict('beside')).toBe('isolate')
  })

  it('is refused for either of two parts that end endpoints at the same time', () => {
    const play = new Play()
    for (let count = 0; count < 3; count += 1) play.end('one').end('two').answer('other', 2)
    expect(['one', 'two', 'one two', 'other'].map(text => play.verdict(text))).toEqual([
      'refuse',
      'refuse',
      'refuse',
      'send',
    ])
  })

  it('is tried again after a while, once, and later after each trial that ends an endpoint', () => {
    const play = new Play()
    for (let count = 0; count < 3; count += 1) play.end('deadly').answer('other', 2)
    expect(play.wait(59 * SECOND).verdict('deadly')).toBe('refuse')
    expect(play.wait(SECOND).verdict('deadly')).toBe('isolate')
    play.parts.noteTrial(keys('deadly'), 63 * SECOND)
    expect(play.verdict('deadly')).toBe('refuse')
    expect(
      play
        .end('deadly', 0)
        .wait(119 * SECOND)
        .verdict('deadly'),
    ).toBe('refuse')
    expect(play.wait(SECOND).verdict('deadly')).toBe('isolate')
    expect(play.answer('deadly').verdict('deadly')).toBe('send')
  })

  it('is refused at once where another instance found it out', () => {
    const play = new Play()
    play.parts.noteRefused(keys('deadly')[0] ?? asId(''), 0)
    expect(play.verdict('deadly topic')).toBe('refuse')
    expect(play.verdict('topic')).toBe('send')
  })
})

describe('what is held against parts', () => {
  it('is told with the age of its ends, so that they count as they came', () => {
    const play = new Play()
    for (let count = 0; count < 3; count += 1) play.end('deadly').answer('other', 2)
    const newcomer = new PromptPartQuarantine()
    const now = 500 * SECOND
    for (const end of play.parts.evidence(3 * SECOND)) newcomer.noteCrash(end, now)
    for (let count = 0; count < 3; count += 1) newcomer.noteAnswered([])
    expect(newcomer.verdict(keys('deadly'), now)).toBe('refuse')
  })

  it('is bounded, however many parts were at an end', () => {
    const play = new Play()
    for (let count = 0; count < 4_000; count += 1) play.end(`part-${count}`, 1)
    expect(play.parts.evidence(0).length).toBeLessThanOrEqual(2_048)
  })
})
