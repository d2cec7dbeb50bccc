import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { existsSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { inspect } from 'node:util'
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { stringify } from 'yaml'
import { asId } from '@rackwalk/shared'
import type { BudgetId, IncarnationId, InstanceId } from '@rackwalk/shared'
import { allocatedTokens, foldBills, readJournal, tableKeys } from '@rackwalk/coordination'
import type { BudgetRow } from '@rackwalk/coordination'
import { hashApiKey } from '@rackwalk/router'
import {
  EngineStandIn,
  LocalPlatform,
  OperatorClient,
  TEAM_KEY,
  streamChat,
} from '@rackwalk/stand-ins'
import type { ChatAnswer } from '@rackwalk/stand-ins'

/** Checks bills and budgets when real `rackwalkd` processes are killed or frozen while they serve. */

const PROGRAM = new URL('../../daemon/dist/main.js', import.meta.url).pathname
/** Loaded before the program: throws in a listener at a signal. */
const FAULT_ON_SIGNAL =
  'data:text/javascript,process.on("SIGUSR2",()=>{throw new Error("a fault in a listener")})'
const TOKEN = 'operator-token'
const LIMIT = 400_000
const INSTANCES = 3
/** The system chooses the port, because a port chosen by the test could be in use before the process binds it. */
const ANY_PORT = '127.0.0.1:0'

interface Instance {
  readonly name: string
  readonly process: ChildProcess
  /** File with the output of the process. */
  readonly log: string
  readonly callers: string
  readonly operators: string
  readonly peers: string
}

let folder: string
let platform: LocalPlatform
let engines: EngineStandIn[]
let instances: Instance[]

beforeEach(async () => {
  expect(existsSync(PROGRAM), 'built before the tests').toBe(true)
  folder = mkdtempSync(join(tmpdir(), 'rackwalk-'))
  platform = new LocalPlatform()
  await platform.start()
  engines = [
    new EngineStandIn({ tokenMilliseconds: 8 }),
    new EngineStandIn({ tokenMilliseconds: 8 }),
  ]
  instances = []
  for (let number = 0; number < INSTANCES; number += 1) {
    instances.push(await startInstance(`entry-${number}`))
  }
  await publish(instances)
  for (const instance of instances) await waitUntilServing(instance)
  await configure()
})

afterEach(() => {
  for (const { process } of instances) process.kill('SIGKILL')
  for (const engine of engines) engine.terminate()
  platform.stop()
  rmSync(folder, { recursive: true })
})

async function startInstance(name: string): Promise<Instance> {
  const secret = { environment: 'STAND_IN_SECRET' }
  const credentials = { accessKeyId: secret, secretAccessKey: secret, timeoutMilliseconds: 500 }
  const settings = {
    instance: { id: name, region: 'local', failureDomain: name },
    listen: { callers: ANY_PORT, operators: ANY_PORT, peers: ANY_PORT },
    platform: {
      table: { ...credentials, endpoint: platform.tableUrl, name: 'rackwalk' },
      objects: { ...credentials, endpoint: platform.objectUrl, bucket: 'rackwalk' },
    },
    operators: [{ name: 'operator', tokenHash: hashApiKey(TOKEN) }],
    timings: { heartbeatMilliseconds: 200, listLagMilliseconds: 1_000, reportMilliseconds: 200 },
  }
  const file = join(folder, `${name}.yaml`)
  writeFileSync(file, stringify(settings))
  const log = join(folder, `${name}.log`)
  const output = openSync(log, 'a')
  const child = spawn(
    process.execPath,
    ['--import', FAULT_ON_SIGNAL, PROGRAM, '--settings', file],
    {
      env: { ...process.env, STAND_IN_SECRET: 'stand-in' },
      stdio: ['ignore', output, output],
    },
  )
  const { callerAddress, operatorAddress, peerAddress } = await waitForStartedLine(name, child, log)
  return {
    name,
    process: child,
    log,
    callers: `http://${callerAddress}`,
    operators: operatorAddress,
    peers: peerAddress,
  }
}

interface StartedLine {
  readonly event: string
  readonly callerAddress: string
  readonly operatorAddress: string
  readonly peerAddress: string
}

/** Waits for the log line that contains the addresses of a started instance. */
async function waitForStartedLine(
  name: string,
  child: ChildProcess,
  log: string,
): Promise<StartedLine> {
  let found: StartedLine | undefined
  const isStarted = () => {
    const lines = readFileSync(log, 'utf8').split('\n').slice(0, -1)
    found = lines.map(parseLine).find(line => line?.event === 'instance_started')
    return found !== undefined || child.exitCode !== null
  }
  await vi.waitUntil(isStarted, { timeout: 30_000, interval: 20 })
  // A terminated instance never serves, and its output contains the reason.
  if (found === undefined) throw new Error(`${name} ended: ${readFileSync(log, 'utf8')}`)
  return found
}

function parseLine(line: string): StartedLine | undefined {
  return line.startsWith('{') ? (JSON.parse(line) as StartedLine) : undefined
}

async function publish(listed: readonly Instance[]): Promise<void> {
  await platform.publishInstances(
    listed.map(({ name, peers }) => ({
      instanceId: asId<InstanceId>(name),
      peerAddress: peers,
      state: 'live' as const,
    })),
  )
}

async function waitUntilServing(instance: Instance): Promise<void> {
  const client = new OperatorClient(instance.operators, TOKEN)
  let seen: unknown
  const isServing = async () => {
    try {
      const { body } = await client.get('/v1/status')
      seen = body
      return body['isServing'] === true && body['liveInstances'] === INSTANCES
    } catch (error) {
      seen = error
      return false
    }
  }
  try {
    await vi.waitUntil(isServing, { timeout: 30_000, interval: 100 })
  } catch (cause) {
    const printed = readFileSync(instance.log, 'utf8')
    throw new Error(`${instance.name} does not serve: ${inspect(seen)}\n${printed}`, { cause })
  }
}

async function configure(): Promise<void> {
  const client = new OperatorClient(instances[0]?.operators ?? '', TOKEN)
  const ports = await Promise.all(engines.map(engine => engine.listen()))
  const endpoints = ports.map((port, number) => ({
    kind: 'endpoints',
    metadata: { name: `engine-${number}` },
    spec: { kind: 'model', models: ['assistant'], address: `http://127.0.0.1:${port}` },
  }))
  const team = { budget: 'team', keyHashes: [hashApiKey(TEAM_KEY)] }
  const placement = { model: 'assistant', version: '1', replicas: 2, defaultOutputTokens: 64 }
  const resources = [
    { kind: 'budgets', metadata: { name: 'team' }, spec: { team: 'team', limit: LIMIT } },
    { kind: 'teams', metadata: { name: 'team' }, spec: team },
    { kind: 'placements', metadata: { name: 'assistant' }, spec: placement },
    ...endpoints,
  ]
  for (const resource of resources) expect((await client.put(resource)).status).toBe(200)
  for (const { operators } of instances) {
    const follower = new OperatorClient(operators, TOKEN)
    await vi.waitUntil(
      async () => {
        const { body } = await follower.get('/v1/status')
        return Number(body['configurationRevision']) >= resources.length
      },
      { timeout: 10_000, interval: 50 },
    )
  }
}

/** Sends chats to an instance concurrently. Requests that fail because it is killed yield undefined. */
async function sendMany(instance: Instance, count: number): Promise<(ChatAnswer | undefined)[]> {
  return Promise.all(
    Array.from({ length: count }, async (_, index) => {
      try {
        return await streamChat(instance.callers, { word: `w${index}-`, tokens: 40 })
      } catch {
        return undefined
      }
    }),
  )
}

async function budgetRow(): Promise<BudgetRow> {
  const stored = await platform.table.get(tableKeys.budgetKey(asId<BudgetId>('team')))
  return stored?.value as unknown as BudgetRow
}

/** Returns the ids of all requests that have a bill in any journal. */
async function billedRequests(): Promise<ReadonlySet<string>> {
  const rows = [
    ...(await platform.table.query(tableKeys.INCARNATIONS_PARTITION)),
    ...(await platform.table.query(tableKeys.RETIRED_PARTITION)),
  ]
  const journals = await Promise.all(
    rows.map(async row => readJournal(platform.table, asId<IncarnationId>(row.key.sort))),
  )
  const { bills, excessTokens } = foldBills(journals.map(({ slots }) => slots))
  expect(excessTokens).toBe(0)
  return new Set(bills.map(bill => bill.requestId))
}

function wholeAnswers(answers: readonly (ChatAnswer | undefined)[]): readonly ChatAnswer[] {
  return answers.filter((answer): answer is ChatAnswer => answer?.isWhole === true)
}

/** Checks that each whole answer is billed and that the budget's row doesn't exceed the limit. */
async function checkBills(whole: readonly ChatAnswer[]): Promise<void> {
  await vi.waitUntil(
    async () => {
      const billed = await billedRequests()
      return whole.every(answer => billed.has(answer.requestId))
    },
    { timeout: 20_000, interval: 200 },
  )
  const row = await budgetRow()
  expect(row.settled + allocatedTokens(row)).toBeLessThanOrEqual(LIMIT)
}

async function waitUntilReclaimed(name: string): Promise<void> {
  await vi.waitUntil(
    async () => {
      const retired = await platform.table.query(tableKeys.RETIRED_PARTITION)
      return retired.some(row => row.key.sort.startsWith(name))
    },
    { timeout: 40_000, interval: 200 },
  )
  const row = await budgetRow()
  expect(Object.keys(row.holders).filter(holder => holder.startsWith(name))).toEqual([])
}

describe('processes', () => {
  it('bill each answer once when one is killed with open streams, and reclaim its allocation', async () => {
    const [victim, second, third] = instances as [Instance, Instance, Instance]
    const before = await sendMany(victim, 10)
    const open = [sendMany(victim, 20), sendMany(second, 20), sendMany(third, 20)]
    await new Promise(resolve => setTimeout(resolve, 150))
    victim.process.kill('SIGKILL')
    await publish([second, third])
    const answers = (await Promise.all(open)).flat()
    const whole = wholeAnswers([...before, ...answers])
    expect(whole.length).toBeGreaterThanOrEqual(50)
    await waitUntilReclaimed(victim.name)
    await checkBills(whole)
  })

  // A fault in a listener ended the process, and with it all requests of other callers.
  it('go on with their open streams after a fault in a listener, which they log', async () => {
    const [instance] = instances as [Instance]
    const open = sendMany(instance, 10)
    await new Promise(resolve => setTimeout(resolve, 100))
    instance.process.kill('SIGUSR2')
    const whole = wholeAnswers(await open)
    expect(whole).toHaveLength(10)
    expect(instance.process.exitCode).toBeNull()
    expect(readFileSync(instance.log, 'utf8')).toMatch(/"event":"fault".*a fault in a listener/)
    await checkBills(whole)
  })

  it('fence one that was frozen and declared dead: it stops and bills nothing more', async () => {
    const [frozen, second, third] = instances as [Instance, Instance, Instance]
    const exit = new Promise<number | null>(resolve => frozen.process.once('exit', resolve))
    const open = sendMany(frozen, 10)
    await new Promise(resolve => setTimeout(resolve, 100))
    frozen.process.kill('SIGSTOP')
    await publish([second, third])
    const others = await sendMany(second, 10)
    await waitUntilReclaimed(frozen.name)
    const journalBefore = await billedRequests()
    frozen.process.kill('SIGCONT')
    expect(await exit).toBe(75)
    expect(await billedRequests()).toEqual(journalBefore)
    const late = wholeAnswers(await open)
    await checkBills([...wholeAnswers(others), ...late])
  })

  it('keep serving through an outage of the store with a kill, and bill each answer after it', async () => {
    const [victim, second, third] = instances as [Instance, Instance, Instance]
    const before = await sendMany(victim, 5)
    platform.tableFaults.outage = true
    const during = (await Promise.all(instances.map(one => sendMany(one, 10)))).flat()
    expect(wholeAnswers(during).length).toBe(30)
    // Only the peers of the killed instance hold its bills.
    victim.process.kill('SIGKILL')
    await publish([second, third])
    platform.tableFaults.outage = false
    await waitUntilReclaimed(victim.name)
    await checkBills(wholeAnswers([...before, ...during]))
  })
})
