import { describe, expect, it } from 'vitest'
import { SeededRandom, VirtualClock } from '@rackwalk/shared'
import {
  DemandHoldingPolicy,
  MEMBER_PARTITION,
  MEMBER_TABLE,
  MemberDirectory,
  PREPAID_TABLE,
  PrepaidLedger,
  StoreClock,
  memberRowCodec,
} from '@rackwalk/coordination'
import type { MemberRow } from '@rackwalk/coordination'
import { MemoryRowStore } from '@rackwalk/stand-ins'

/** Malformed rows are reported and ignored; none of their fields is read as zero. */

const MEMBER: MemberRow = {
  instance: 'instance-2',
  incarnation: 'first',
  region: 'region-a',
  failureDomain: 'domain-a',
  callerAddress: '10.0.0.2:80',
  peerAddress: '',
  loadAddress: '',
  capacity: 40,
  requestsPerSecond: 0,
  state: 'serving',
  heartbeat: 1,
  renewalMilliseconds: 1_000,
}

const MALFORMED = [
  'no JSON',
  'null',
  '{}',
  memberRowCodec.encode(MEMBER).replace('"capacity":40', '"capacity":"40"'),
  memberRowCodec.encode(MEMBER).replace('"heartbeat":1,', ''),
]

describe('a malformed row', () => {
  it.each(MALFORMED)('of a member keeps its last valid row in force: %s', text => {
    const clock = new VirtualClock()
    const malformed: string[] = []
    const directory = new MemberDirectory({
      self: { ...MEMBER, instance: 'instance-1' },
      requestsPerSecond: () => 0,
      isActive: () => true,
      store: new MemoryRowStore(clock).connect().store,
      storeClock: new StoreClock(clock),
      clock,
      random: new SeededRandom(1),
      heartbeatMilliseconds: 1_000,
      silenceMilliseconds: 3_500,
      partitionWritesPerSecond: 150,
      onStateChange: () => {},
      onMalformedRow: ({ key }) => malformed.push(key),
    })
    const address = { table: MEMBER_TABLE, partition: MEMBER_PARTITION, key: 'instance-2' }
    const value = memberRowCodec.encode(MEMBER)
    directory.observe([{ ...address, value, version: 1 }], true)
    directory.observe([{ ...address, value: text, version: 2 }], false)
    expect(directory.others).toEqual([MEMBER])
    expect(malformed).toEqual(['instance-2'])
  })

  it.each(['pool', 'holder/instance-2'])('of a budget, %s, is ignored', async key => {
    const clock = new VirtualClock()
    const rows = new MemoryRowStore(clock)
    const malformed: string[] = []
    const ledger = new PrepaidLedger({
      instance: 'instance-1',
      incarnation: 'first',
      store: rows.connect().store,
      storeClock: new StoreClock(clock),
      clock,
      startedAt: 0,
      policy: new DemandHoldingPolicy(),
      isActive: () => true,
      otherInstances: () => ['instance-2'],
      limits: { writesPerSecond: 600, partitionWritesPerSecond: 150, reserveShare: 0 },
      onEvent: () => {},
      onMalformedRow: row => malformed.push(row.key),
    })
    ledger.configure([{ budget: 'team', limit: 10_000 }], 1)
    ledger.start()
    await clock.advance(1_000)
    const before = ledger.describe('team')
    const malformedRow = { table: PREPAID_TABLE, partition: 'team', key, value: '{"limit":0}' }
    ledger.observe([{ ...malformedRow, version: 1_000 }], false)
    expect(ledger.describe('team')).toEqual(before)
    expect(malformed).toEqual([key])
  })
})
