import { describe, expect, it } from 'vitest'
import { VirtualClock } from '@rackwalk/shared'
import {
  DemandHoldingPolicy,
  PREPAID_TABLE,
  PrepaidLedger,
  StoreClock,
  holderKey,
} from '@rackwalk/coordination'
import { MemoryRowStore } from '@rackwalk/stand-ins'

/** Events that a prepaid ledger tells its owner, which become lines of the log as they are. */

const BUDGET = 'team'

function setUp() {
  const clock = new VirtualClock()
  const rows = new MemoryRowStore(clock)
  const events: [string, Readonly<Record<string, unknown>>][] = []
  const start = (incarnation: string, startedAt: number) => {
    const { store, faults } = rows.connect()
    const ledger = new PrepaidLedger({
      instance: 'instance-1',
      incarnation,
      store,
      storeClock: new StoreClock(clock),
      clock,
      startedAt,
      policy: new DemandHoldingPolicy(),
      isActive: () => true,
      otherInstances: () => [],
      limits: { writesPerSecond: 600, partitionWritesPerSecond: 150, reserveShare: 0 },
      onEvent: (event, fields) => events.push([event, fields]),
      onMalformedRow: () => {},
    })
    ledger.configure([{ budget: BUDGET, limit: 100_000 }], 1)
    ledger.start()
    return { ledger, faults }
  }
  return { clock, rows, events, start }
}

describe('events of a prepaid ledger', () => {
  it('tell that the store does not answer', async () => {
    const { clock, events, start } = setUp()
    const { ledger, faults } = start('first', 0)
    await clock.advance(1_000)
    faults.isCut = true
    void ledger.reserve(BUDGET, 500, 100)
    await clock.advance(6_000)
    expect(events).toEqual([['prepaid_store_lost', { budget: BUDGET, reason: 'no answer' }]])
  })

  it("tell that a dead predecessor's holding was ended, and what of it counts as spent", async () => {
    const { clock, events, start } = setUp()
    const first = start('first', 0)
    await clock.advance(1_000)
    first.ledger.stop()
    start('second', clock.monotonic())
    await clock.advance(1_000)
    expect(events).toMatchInlineSnapshot(`
      [
        [
          "prepaid_taken_over",
          {
            "assumed": 0,
            "budget": "team",
            "granted": 100000,
            "incarnation": "first",
            "recorded": 0,
          },
        ],
      ]
    `)
  })

  it('tell that another process took the row of this one', async () => {
    const { clock, rows, events, start } = setUp()
    const { ledger } = start('first', 0)
    await clock.advance(1_000)
    const outcome = rows.read(PREPAID_TABLE, BUDGET)
    const holder = outcome.kind === 'rows' ? outcome.rows.find(({ key }) => key !== 'pool') : null
    const taken = (holder?.value ?? '').replace('"first"', '"stranger"')
    rows.put(PREPAID_TABLE, holderKey('instance-1'), taken, BUDGET)
    void ledger.reserve(BUDGET, 500, 100)
    await clock.advance(1_000)
    expect(events[0]).toEqual(['prepaid_holding_lost', { budget: BUDGET }])
  })
})
