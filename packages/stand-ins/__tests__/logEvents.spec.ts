import { afterEach, describe, expect, it } from 'vitest'
import { request } from 'undici'
import { asId } from '@rackwalk/shared'
import type { TransactionId } from '@rackwalk/shared'
import { tableKeys } from '@rackwalk/coordination'
import type { Logger } from '@rackwalk/daemon'
import { ConfiguredFleet, MODEL, TEAM_KEY, chatBody, streamChat } from '@rackwalk/stand-ins'

/** Pins the log lines of an OpenAI-style instance: names of events, and names and types of their fields. */

interface Line {
  readonly level: 'info' | 'warn'
  readonly event: string
  readonly fields: Readonly<Record<string, unknown>>
}

class KeepingLogger implements Logger {
  readonly lines: Line[] = []

  info(event: string, fields: Readonly<Record<string, unknown>>): void {
    this.lines.push({ level: 'info', event, fields })
  }

  warn(event: string, fields: Readonly<Record<string, unknown>>): void {
    this.lines.push({ level: 'warn', event, fields })
  }

  has(event: string): boolean {
    return this.lines.some(line => line.event === event)
  }

  /** Level and field types of the last line of each event, by event name. */
  get shapes(): Readonly<Record<string, unknown>> {
    const shapes = this.lines.map(({ level, event, fields }) => {
      const seen = JSON.parse(JSON.stringify(fields)) as Record<string, unknown>
      const types = Object.entries(seen).map(([name, value]) => `${name}: ${typeof value}`)
      return [event, { level, fields: types.sort() }] as const
    })
    return Object.fromEntries(shapes.sort(([left], [right]) => (left < right ? -1 : 1)))
  }
}

let fleet: ConfiguredFleet | undefined

afterEach(async () => {
  await fleet?.stop()
  fleet = undefined
})

async function until(condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise(resolve => setTimeout(resolve, 10))
}

describe('lines of an OpenAI-style instance', () => {
  it('tell of decisions, of refusals and of changes of state', async () => {
    const logger = new KeepingLogger()
    fleet = await new ConfiguredFleet({ instances: 1, logger, budgetTokens: 1_000 }).start()
    await streamChat(fleet.callers(), { word: 'w', tokens: 3 })
    const refused = await request(`${fleet.callers()}/v1/chat/completions`, {
      method: 'POST',
      headers: { authorization: `Bearer ${TEAM_KEY}` },
      body: chatBody({ word: 'w', tokens: 3, maximumTokens: 50_000 }, false),
    })
    await refused.body.text()
    expect(refused.statusCode).toBe(402)
    const spec = { model: MODEL, version: '2', replicas: 2, defaultOutputTokens: 64 }
    await fleet.apply([{ kind: 'placements', metadata: { name: MODEL }, spec }])
    await until(() => logger.has('placement_decision'))
    fleet.engines[0]?.leave()
    await until(() => logger.has('endpoint_state'))
    await fleet.fleet.drain()
    expect(logger.shapes).toMatchSnapshot('lines')
  })

  it('tell that the incarnation was sealed', async () => {
    const logger = new KeepingLogger()
    fleet = await new ConfiguredFleet({ instances: 1, logger }).start()
    const [member] = fleet.fleet.members
    if (member === undefined) throw new Error('no instance')
    await streamChat(fleet.callers(), { word: 'w', tokens: 3 })
    const { incarnation } = member.daemon.node
    const key = tableKeys.sealingKey(incarnation)
    const condition = { kind: 'absent' } as const
    const seal = { kind: 'seal', sealedBy: 'somebody', entries: [] }
    const id = asId<TransactionId>('sealing')
    await fleet.platform.table.transact(id, [{ kind: 'put', key, condition, value: {} }])
    // The writer finds a seal in the slot that it writes next.
    const slots = await fleet.platform.table.query(tableKeys.journalPartition(incarnation))
    const next = tableKeys.journalSlotKey(incarnation, slots.length + 1)
    await fleet.platform.table.transact(id, [{ kind: 'put', key: next, condition, value: seal }])
    streamChat(fleet.callers(), { word: 'w', tokens: 3 }).catch(() => undefined)
    await until(() => logger.has('incarnation_sealed'))
    expect(logger.shapes['incarnation_sealed']).toMatchSnapshot()
  })
})
