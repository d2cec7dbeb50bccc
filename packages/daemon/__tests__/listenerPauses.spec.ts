import { createServer } from 'node:http'
import { describe, expect, it } from 'vitest'
import { ListenerPauses, PausableListener } from '@rackwalk/daemon'
import type { PeerOverload } from '@rackwalk/decisions'
import { SeededRandom, VirtualClock } from '@rackwalk/shared'

const ROOM: PeerOverload = { count: 7, overloaded: 0 }

/** Records pauses and resumptions instead of listening. */
class NotedListener extends PausableListener {
  override pause(): void {
    this.note('pause')
  }

  override resume(): Promise<void> {
    this.note('resume')
    return Promise.resolve()
  }

  constructor(
    clock: VirtualClock,
    private readonly note: (what: string) => void,
  ) {
    super(createServer(), '127.0.0.1:0', clock, () => {})
  }
}

function setUp() {
  const clock = new VirtualClock()
  const state = { share: 0, others: ROOM, isServing: true }
  const notes: string[] = []
  const note = (what: string) => notes.push(`${Math.round(clock.monotonic())} ${what}`)
  const pauses = new ListenerPauses({
    clock,
    random: new SeededRandom(1),
    listener: new NotedListener(clock, note),
    refusedShare: () => state.share,
    others: () => state.others,
    isServing: () => state.isServing,
    gossipOverload: () => note('tell'),
    onPause: () => {},
    onChange: isPausing => note(isPausing ? 'begin' : 'cease'),
    onFault: () => note('fault'),
  })
  pauses.start()
  return { clock, state, notes, pauses }
}

describe('the pauses of an instance', () => {
  it('are reported once when they begin and stop, and are broadcast every second', async () => {
    const { clock, state, notes } = setUp()
    await clock.advance(1_000)
    expect(notes).toEqual([])
    state.share = 0.6
    await clock.advance(2_500)
    state.share = 0
    await clock.advance(4_000)
    expect(notes).toMatchInlineSnapshot(`
      [
        "1014 tell",
        "1525 begin",
        "1525 pause",
        "1625 resume",
        "1875 pause",
        "2075 resume",
        "2289 tell",
        "2289 pause",
        "2689 resume",
        "2955 pause",
        "3258 resume",
        "3499 tell",
        "3499 pause",
        "3808 resume",
        "4532 tell",
        "5691 cease",
      ]
    `)
  })

  it.each([
    ['it stops', { isServing: false, others: ROOM }],
    ['it hears no other instance', { isServing: true, others: { count: 0, overloaded: 0 } }],
  ])('do not occur while %s', async (_case, change) => {
    const { clock, state, notes } = setUp()
    Object.assign(state, change, { share: 0.9 })
    await clock.advance(3_000)
    expect(notes.filter(note => !note.endsWith('tell'))).toEqual([])
  })

  it('end with the instance', async () => {
    const { clock, state, notes, pauses } = setUp()
    state.share = 0.9
    await clock.advance(500)
    pauses.stop()
    const before = notes.length
    await clock.advance(5_000)
    expect(notes.length).toBe(before)
  })
})
