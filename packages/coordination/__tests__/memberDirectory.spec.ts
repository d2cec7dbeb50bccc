import { describe, expect, it } from 'vitest'
import { SeededRandom, VirtualClock } from '@rackwalk/shared'
import { MEMBER_PARTITION, MEMBER_TABLE, MemberDirectory, StoreClock } from '@rackwalk/coordination'
import { MemoryRowStore } from '@rackwalk/stand-ins'

const READ_MILLISECONDS = 700

interface StartOptions {
  readonly isCut?: boolean
  readonly incarnation?: string
  readonly readsAfterMilliseconds?: number
}

function setUp() {
  const clock = new VirtualClock()
  const rows = new MemoryRowStore(clock)
  const start = (instance: string, isActive: boolean, options: StartOptions = {}) => {
    const { isCut = false, incarnation = 'first', readsAfterMilliseconds = 0 } = options
    const { store, faults } = rows.connect()
    faults.isCut = isCut
    const directory = new MemberDirectory({
      self: {
        instance,
        incarnation,
        region: 'region',
        failureDomain: 'domain',
        callerAddress: `${instance}:80`,
        peerAddress: '',
        loadAddress: '',
        capacity: 40,
      },
      requestsPerSecond: () => 7,
      isActive: () => isActive,
      store,
      storeClock: new StoreClock(clock),
      clock,
      random: new SeededRandom(1),
      heartbeatMilliseconds: 1_000,
      silenceMilliseconds: 3_500,
      partitionWritesPerSecond: 150,
      onStateChange: () => {},
      onMalformedRow: () => {},
    })
    let reads = 0
    const read = () => {
      void store.readPartition(MEMBER_TABLE, MEMBER_PARTITION).then(outcome => {
        if (outcome.kind !== 'rows') return
        reads += 1
        directory.observe(outcome.rows, true)
        directory.noteRead()
      })
      clock.after(READ_MILLISECONDS, read)
    }
    if (readsAfterMilliseconds === 0) read()
    else clock.after(readsAfterMilliseconds, read)
    directory.start()
    return { directory, faults, reads: () => reads }
  }
  return { clock, start }
}

function names(directory: MemberDirectory): string[] {
  return directory.others.map(member => member.instance).sort()
}

describe('MemberDirectory', () => {
  it("announces an instance's capacity and request rate", async () => {
    const { clock, start } = setUp()
    const first = start('first', true)
    start('second', true)
    await clock.advance(2_000)
    expect(first.directory.others).toMatchObject([
      { instance: 'second', capacity: 40, requestsPerSecond: 7, state: 'serving' },
    ])
  })

  it('counts a silent active instance as terminated, and a standby instance later', async () => {
    const { clock, start } = setUp()
    const observer = start('observer', true)
    const active = start('active', true)
    const standby = start('standby', false)
    await clock.advance(20_000)
    expect(names(observer.directory)).toEqual(['active', 'standby'])
    active.directory.stop()
    standby.directory.stop()
    await clock.advance(6_000)
    expect(names(observer.directory)).toEqual(['standby'])
    expect(observer.directory.unrenewedOthers.map(({ instance }) => instance)).toEqual(['active'])
    await clock.advance(10_000)
    expect(names(observer.directory)).toEqual([])
  })

  it('counts no instance as terminated because it was disconnected itself', async () => {
    const { clock, start } = setUp()
    const observer = start('observer', true)
    start('other', true)
    await clock.advance(2_000)
    observer.faults.isUnreachable = true
    await clock.advance(30_000)
    observer.faults.isUnreachable = false
    expect(names(observer.directory)).toEqual(['other'])
    await clock.advance(2_000)
    expect(names(observer.directory)).toEqual(['other'])
  })

  it('is initialized once the rows were read, or after a timeout', async () => {
    const { clock, start } = setUp()
    const reached = start('reached', true)
    const cut = start('cut', true, { isCut: true })
    expect([reached.directory.isInitialized, cut.directory.isInitialized]).toEqual([false, false])
    await clock.advance(100)
    expect([reached.directory.isInitialized, cut.directory.isInitialized]).toEqual([true, false])
    await clock.advance(1_500)
    expect(cut.directory.isInitialized).toBe(true)
  })

  it('knows a fleet that starts from one of which instances ran before', async () => {
    const { clock, start } = setUp()
    const first = start('first', true)
    expect(first.directory.isFleetNew).toBe(false)
    await clock.advance(10)
    const second = start('second', true)
    await clock.advance(1_000)
    expect([first.directory.isFleetNew, second.directory.isFleetNew]).toEqual([true, true])
    first.directory.stop()
    second.directory.stop()
    const again = start('first', true, { incarnation: 'again' })
    await clock.advance(1_000)
    expect([again.directory.isFleetNew, again.directory.others]).toMatchObject([false, [{}]])
    await clock.advance(5_000)
    const late = start('third', true)
    await clock.advance(1_000)
    expect(late.directory.isFleetNew).toBe(false)
  })

  it('knows that it ran before although its own row replaces the earlier one before any read', async () => {
    const { clock, start } = setUp()
    const first = start('first', true)
    await clock.advance(1_000)
    first.directory.stop()
    const again = start('first', true, { incarnation: 'again', readsAfterMilliseconds: 900 })
    await clock.advance(2_000)
    expect(again.directory.isFleetNew).toBe(false)
    expect(again.directory.hasIncarnation('first', 'again')).toBe(true)
  })

  it('takes its own row for no earlier one', async () => {
    const { clock, start } = setUp()
    const first = start('first', true, { readsAfterMilliseconds: 900 })
    await clock.advance(2_000)
    expect(first.directory.isFleetNew).toBe(true)
  })
})
