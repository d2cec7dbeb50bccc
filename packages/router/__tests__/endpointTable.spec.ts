import { describe, expect, it } from 'vitest'
import { EndpointTable } from '@rackwalk/router'
import { VirtualClock, asId } from '@rackwalk/shared'
import type { EndpointId } from '@rackwalk/shared'

/**
 * The end of an endpoint's leaving state. A report that is older than the answer that announced it
 * must not end it.
 */

const ENGINE = asId<EndpointId>('engine-1')
const STAYING = { running: 0, waiting: 0, cacheUse: 0, leaving: false, queuedPromptTokens: 0 }

function create() {
  const clock = new VirtualClock()
  const source = { endpoints: [], findEndpoint: () => undefined, isEvacuated: () => false }
  const permits = { allows: () => true, refusalOf: () => undefined }
  return { clock, table: new EndpointTable(source, clock, permits, () => undefined) }
}

describe('an engine that said in an answer that it leaves', () => {
  it('leaves though reports say that it stays, until none could be fetched or a minute has passed', async () => {
    const { clock, table } = create()
    table.noteLeaving(ENGINE, 'answer')
    table.noteReport(ENGINE, STAYING, clock.monotonic())
    expect(table.isLeaving(ENGINE)).toBe(true)
    table.noteReportFailed(ENGINE)
    table.noteReport(ENGINE, STAYING, clock.monotonic())
    expect(table.isLeaving(ENGINE)).toBe(false)
    table.noteLeaving(ENGINE, 'answer')
    await clock.advance(60_000)
    table.noteReport(ENGINE, STAYING, clock.monotonic())
    expect(table.isLeaving(ENGINE)).toBe(false)
  })

  it('stays by its report where only a list or a heartbeat said so', () => {
    const { clock, table } = create()
    table.noteLeaving(ENGINE, 'peer')
    table.noteReport(ENGINE, STAYING, clock.monotonic())
    expect(table.isLeaving(ENGINE)).toBe(false)
  })
})

describe('an engine', () => {
  it('is known to have been alive when its latest report was requested, not when the report arrived', async () => {
    const { clock, table } = create()
    expect(table.lastHeard(ENGINE).askedAt).toBe(Number.NEGATIVE_INFINITY)
    await clock.advance(500)
    table.noteReport(ENGINE, STAYING, 100)
    expect(table.lastHeard(ENGINE).askedAt).toBe(100)
  })
})
