import { describe, expect, it } from 'vitest'
import { PromptPartQuarantine } from '@rackwalk/decisions'
import type { QuarantineVerdict } from '@rackwalk/decisions'
import { asId } from '@rackwalk/shared'
import type { EndpointStart, PromptPartKey } from '@rackwalk/shared'

const SECOND = 1_000

function keys(text: string): readonly PromptPartKey[] {
  return text.split(' ').map(part => asId<PromptPartKey>(part))
}

/** One instance's quarantine, with a clock that the test advances by its steps. */
class Scenario {
  readonly parts = new PromptPartQuarantine()
  private now = 0
  private starts = 0

  wait(milliseconds: number): this {
    this.now += milliseconds
    return this
  }

  /** An endpoint crashes under a request with these parts, by default a second after the previous step. */
  crash(text: string, after = SECOND): this {
    this.now += after
    this.starts += 1
    const start = asId<EndpointStart>(`start-${this.starts}`)
    this.parts.noteCrash({ start, parts: keys(text), ageMilliseconds: 0 }, this.now)
    return this
  }

  /** `count` requests with these parts are answered. */
  answer(text: string, count = 1): this {
    for (let index = 0; index < count; index += 1) this.parts.noteAnswered(keys(text))
    return this
  }

  verdict(text: string): QuarantineVerdict {
    return this.parts.verdict(keys(text), this.now)
  }
}

/**
 * Requests that are all different but share one prompt part crash the engine that begins to answer them. The quarantine of
 * single requests cannot stop this, so the shared part is isolated and then refused.
 */

describe('a request with a prompt part that was unanswered at crashes of endpoints', () => {
  it('is sent, isolated or refused by the number of crashes since the last answer with that part', () => {
    const scenario = new Scenario()
    const verdicts = [0, 1, 2, 3].map(count => {
      if (count > 0) scenario.crash('shared deadly').answer('shared topic', 2)
      return scenario.verdict('shared deadly')
    })
    expect(verdicts).toEqual(['send', 'send', 'isolate', 'refuse'])
    expect(scenario.verdict('shared topic')).toBe('send')
    expect(scenario.verdict('shared')).toBe('send')
  })

  it('is refused wherever the part stands in the prompt, and beside parts that were never seen', () => {
    const scenario = new Scenario()
    for (const text of ['deadly a b', 'a deadly b', 'a b deadly'])
      scenario.crash(text).answer('a b c', 2)
    expect(scenario.verdict('deadly')).toBe('refuse')
    expect(scenario.verdict('new deadly newer')).toBe('refuse')
    expect(scenario.verdict('a b')).toBe('send')
  })

  it('is not refused for crashes at the same moment, since they have another cause', () => {
    const scenario = new Scenario()
    for (let count = 0; count < 6; count += 1) scenario.crash('shared topic', 10)
    scenario.answer('other', 5)
    expect(scenario.verdict('shared topic')).toBe('send')
  })

  it('is refused sooner if it was isolated each time, since it ran alone there', () => {
    const scenario = new Scenario()
    const isolated = (count: number) => ({
      start: asId<EndpointStart>(`alone-${count}`),
      parts: keys('topic'),
      wasIsolated: true,
      ageMilliseconds: 0,
    })
    scenario.crash('topic', 10).answer('other', 5)
    for (const count of [1, 2]) scenario.parts.noteCrash(isolated(count), 20 * count)
    expect(scenario.verdict('topic')).toBe('refuse')
  })

  it('is not refused while no other request is answered either', () => {
    const scenario = new Scenario().crash('shared').crash('shared').crash('shared').crash('shared')
    expect(scenario.verdict('shared')).toBe('isolate')
    expect(scenario.answer('other', 3).verdict('shared')).toBe('refuse')
  })

  it('is sent if a request with the part was answered in between', () => {
    const scenario = new Scenario()
      .crash('topic')
      .crash('topic')
      .answer('topic')
      .crash('topic')
      .answer('other', 9)
    expect(scenario.verdict('topic')).toBe('send')
  })

  it('is not refused for crashes that are reported late or again after the part was answered', () => {
    const scenario = new Scenario().crash('topic').crash('topic').answer('topic')
    const again = ['start-1', 'start-2'].map(start => asId<EndpointStart>(start))
    for (const start of again) {
      scenario.parts.noteCrash({ start, parts: keys('topic'), ageMilliseconds: 0 }, 10 * SECOND)
    }
    expect(scenario.crash('topic').answer('other', 9).verdict('topic')).toBe('send')
  })

  it('is isolated if another refused part, which it lacks, was unanswered at all the same crashes', () => {
    const scenario = new Scenario()
    for (let count = 0; count < 3; count += 1) scenario.crash('deadly beside').answer('other', 2)
    expect(scenario.verdict('deadly beside')).toBe('refuse')
    expect(scenario.verdict('beside topic')).toBe('isolate')
    expect(scenario.answer('beside topic').verdict('beside topic')).toBe('send')
    expect(scenario.verdict('deadly topic')).toBe('refuse')
  })

  it('is refused if it was isolated for that reason and crashed an endpoint', () => {
    const scenario = new Scenario()
    for (let count = 0; count < 3; count += 1) scenario.crash('deadly beside').answer('other', 2)
    scenario.crash('deadly topic').answer('other topic')
    expect(scenario.verdict('deadly')).toBe('refuse')
    expect(scenario.verdict('beside')).toBe('isolate')
  })

  it('is refused for either of two parts that crash endpoints in the same period', () => {
    const scenario = new Scenario()
    for (let count = 0; count < 3; count += 1) scenario.crash('one').crash('two').answer('other', 2)
    expect(['one', 'two', 'one two', 'other'].map(text => scenario.verdict(text))).toEqual([
      'refuse',
      'refuse',
      'refuse',
      'send',
    ])
  })

  it('is tried again once after a while, and later after each trial that crashes an endpoint', () => {
    const scenario = new Scenario()
    for (let count = 0; count < 3; count += 1) scenario.crash('deadly').answer('other', 2)
    expect(scenario.wait(59 * SECOND).verdict('deadly')).toBe('refuse')
    expect(scenario.wait(SECOND).verdict('deadly')).toBe('isolate')
    scenario.parts.noteTrial(keys('deadly'), 63 * SECOND)
    expect(scenario.verdict('deadly')).toBe('refuse')
    expect(
      scenario
        .crash('deadly', 0)
        .wait(119 * SECOND)
        .verdict('deadly'),
    ).toBe('refuse')
    expect(scenario.wait(SECOND).verdict('deadly')).toBe('isolate')
    expect(scenario.answer('deadly').verdict('deadly')).toBe('send')
  })

  it('is refused at once if another instance refuses the part', () => {
    const scenario = new Scenario()
    scenario.parts.noteRefused(keys('deadly')[0] ?? asId(''), 0)
    expect(scenario.verdict('deadly topic')).toBe('refuse')
    expect(scenario.verdict('topic')).toBe('send')
  })
})

describe('the evidence against parts', () => {
  it('is sent to a new instance with the age of its crashes, so that they count as separate ones there too', () => {
    const scenario = new Scenario()
    for (let count = 0; count < 3; count += 1) scenario.crash('deadly').answer('other', 2)
    const newInstance = new PromptPartQuarantine()
    const now = 500 * SECOND
    for (const crash of scenario.parts.evidence(3 * SECOND)) newInstance.noteCrash(crash, now)
    for (let count = 0; count < 3; count += 1) newInstance.noteAnswered([])
    expect(newInstance.verdict(keys('deadly'), now)).toBe('refuse')
  })

  it('is bounded, however many parts were unanswered at crashes', () => {
    const scenario = new Scenario()
    for (let count = 0; count < 4_000; count += 1) scenario.crash(`part-${count}`, 1)
    expect(scenario.parts.evidence(0).length).toBeLessThanOrEqual(2_048)
  })
})
