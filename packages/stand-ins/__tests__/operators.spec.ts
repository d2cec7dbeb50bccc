import { request } from 'undici'
import { afterAll, beforeAll, describe, expect, it, vi } from 'vitest'
import { ExitCode, runProgram } from '@rackwalk/cli'
import { ResultCode } from '@rackwalk/shared'
import { ConfiguredFleet, OperatorClient, TEAM_KEY, streamChat } from '@rackwalk/stand-ins'

let fleet: ConfiguredFleet

beforeAll(async () => {
  fleet = await new ConfiguredFleet().start()
})

afterAll(async () => {
  await fleet.stop()
})

function operator(number = 0): OperatorClient {
  return fleet.fleet.operator(fleet.fleet.members[number])
}

function team(name: string, weight: number) {
  const spec = { budget: 'team', keyHashes: [], weight }
  return { kind: 'teams', metadata: { name }, spec }
}

/** Runs the command line against the fleet; files are given as text. */
async function run(argv: readonly string[], files: Record<string, string> = {}) {
  const output: string[] = []
  const member = fleet.fleet.members[0]
  const code = await runProgram(argv, {
    variables: {
      RACKWALK_TOKEN: 'operator-token',
      RACKWALK_SERVER: `http://${member?.addresses.operators}`,
    },
    isTerminal: false,
    print: text => output.push(text),
    printError: text => output.push(`! ${text}`),
    readFile: async path => files[path] ?? Promise.reject(new Error('no such file')),
    now: () => Date.parse('2026-12-02T10:00:00Z'),
  })
  return { code, output: output.join('\n') }
}

/** Replaces the parts of a text that differ between runs by fixed placeholders. */
function stable(text: string): string {
  return text
    .replaceAll(/instance-\d-[0-9a-f]{8}(\.[0-9a-z]+\.[0-9a-z]+)?/g, 'ID')
    .replaceAll(/127\.0\.0\.1:\d+/g, 'ADDRESS')
    .replaceAll(/\d+ ms/g, 'N ms')
    .replaceAll(/\d{4}-\d{2}-\d{2}T[\d:.]+Z/g, 'TIME')
    .replaceAll(/scored [\d.]+/g, 'scored N')
    .replaceAll(/engine-\d/g, 'engine-N')
    .replaceAll(/ +/g, ' ')
}

describe('the operator API', () => {
  it('refuses callers without an operator token and never shows keys', async () => {
    const address = fleet.fleet.members[0]?.addresses.operators ?? ''
    const stranger = await new OperatorClient(address, 'nobody').get('/v1/teams')
    expect(stranger.status).toBe(401)
    expect(stranger.body).toMatchObject({ error: { code: ResultCode.OperatorUnauthorized } })
    const { body } = await operator().get('/v1/teams')
    expect(JSON.stringify(body)).not.toContain(TEAM_KEY)
  })

  it('names every fault of a resource at once', async () => {
    const document = { kind: 'teams', metadata: { name: 'bad' }, spec: { budget: 'A B', extra: 1 } }
    const { status, body } = await operator().put(document)
    expect(status).toBe(422)
    expect((body['error'] as { faults: unknown }).faults).toMatchSnapshot()
  })

  it('lets one of two operators win and tells the other the current version', async () => {
    const created = await operator().put(team('raced', 1))
    const version = (created.body['metadata'] as { version: number }).version
    const headers = { 'if-match': `"${version}"` }
    const answers = await Promise.all([
      operator(0).put(team('raced', 2), headers),
      operator(1).put(team('raced', 3), headers),
    ])
    expect(answers.map(({ status }) => status).sort()).toEqual([200, 409])
    const loser = answers.find(({ status }) => status === 409)
    const current = (loser?.body['error'] as { current: { metadata: { version: number } } }).current
    expect(current.metadata.version).toBeGreaterThan(version)
  })

  it('refuses to create what is there already', async () => {
    await operator().put(team('twice', 1))
    const { body } = await operator().put(team('twice', 2), { 'if-none-match': '*' })
    expect(body).toMatchObject({ error: { code: ResultCode.ResourceExists } })
  })

  it('checks everything in a dry run and changes nothing', async () => {
    const { status } = await operator().send('PUT', '/v1/teams/dry?dryRun=true', team('dry', 1))
    expect(status).toBe(200)
    expect((await operator().get('/v1/teams/dry')).status).toBe(404)
  })

  it('can be asked about a write whose answer was lost, and writes it once', async () => {
    const headers = { 'rackwalk-write-id': 'lost-1' }
    fleet.platform.tableFaults.lostAnswers = 1
    const lost = await operator().put(team('asked', 5), headers)
    fleet.platform.tableFaults.lostAnswers = 0
    // Either the server's own retry found the change, or the operator must query the write's outcome.
    expect([200, 503]).toContain(lost.status)
    const record = await operator(2).get('/v1/writes/operator%2Flost-1')
    expect(record.body).toMatchObject({ accepted: true })
    const again = await operator(1).put(team('asked', 5), headers)
    expect(again.body['metadata']).toMatchObject({ version: record.body['revision'] })
    const { body } = await operator().get('/v1/audit')
    const changes = (body['items'] as { name: string; operator: string }[]).filter(
      ({ name }) => name === 'asked',
    )
    expect(changes).toMatchObject([{ operator: 'operator' }])
  })

  it('brings a change into force on every instance and says so', async () => {
    const { body } = await operator().put(team('spread', 1))
    const { version } = body['metadata'] as { version: number }
    await fleet.fleet.whenInForce(version)
    await vi.waitUntil(async () => {
      const described = await operator(1).get('/v1/teams/spread')
      const { instances } = described.body['status'] as { instances: { inForce: boolean }[] }
      return instances.length === 3 && instances.every(({ inForce }) => inForce)
    })
  })

  it('pages and selects by labels', async () => {
    for (const name of ['page-a', 'page-b', 'page-c']) {
      const labels = { set: 'pages' }
      await operator().put({ ...team(name, 1), metadata: { name, labels } as { name: string } })
    }
    const first = await operator().get('/v1/teams?labels=set=pages&limit=2')
    const names = (page: Record<string, unknown>) =>
      (page['items'] as { metadata: { name: string } }[]).map(({ metadata }) => metadata.name)
    expect(names(first.body)).toEqual(['page-a', 'page-b'])
    const second = await operator().get(
      `/v1/teams?labels=set=pages&limit=2&after=${String(first.body['next'])}`,
    )
    expect(names(second.body)).toEqual(['page-c'])
  })

  it('sends each change once to a watcher that reconnects to another instance', async () => {
    const start = fleet.fleet.members[0]?.daemon.node.configuration.revision ?? 0
    const seen: number[] = []
    for (let round = 0; round < 3; round += 1) {
      await operator(round).put(team(`watched-${round}`, 1))
      const from = seen.at(-1) ?? start
      seen.push(...(await watchOnce(round, from)))
    }
    const expected = Array.from({ length: 3 }, (_, index) => start + 1 + index)
    expect(seen).toEqual(expected)
  })

  it('explains a request at any instance, also after the instance that served it has crashed', async () => {
    const member = await fleet.fleet.add(7)
    await fleet.fleet.publish()
    await fleet.fleet.whenServing()
    await vi.waitUntil(() => member.daemon.node.configuration.revision > 0)
    const answer = await streamChat(`http://${member.addresses.callers}`, { word: 'w', tokens: 3 })
    expect(answer.isWhole).toBe(true)
    const path = `/v1/requests/${answer.requestId}`
    expect((await operator(0).get(path)).body).toMatchObject({ code: ResultCode.Ok })
    await member.daemon.node.archive.writeDue(true)
    await fleet.fleet.kill(member)
    await fleet.fleet.publish()
    const later = await operator(1).get(path)
    expect(later.body).toMatchObject({ code: ResultCode.Ok, billedTokens: expect.any(Number) })
  })

  it('serves the configuration to an instance that starts while the platform is down', async () => {
    const revision = fleet.fleet.members[0]?.daemon.node.configuration.revision ?? 0
    fleet.platform.tableFaults.outage = true
    fleet.platform.objectFaults.outage = true
    const member = await fleet.fleet.add(8)
    await vi.waitUntil(() => member.daemon.node.configuration.revision >= revision, 20_000)
    const refused = await streamChat(`http://${member.addresses.callers}`, { word: 'w', tokens: 1 })
    expect(refused.errorCode).toBe(ResultCode.InstanceNotReady)
    fleet.platform.tableFaults.outage = false
    fleet.platform.objectFaults.outage = false
    await vi.waitUntil(() => member.daemon.isServing, 10_000)
    await fleet.fleet.kill(member)
  })
})

async function watchOnce(instance: number, from: number): Promise<readonly number[]> {
  const address = fleet.fleet.members[instance]?.addresses.operators
  const response = await request(`http://${address}/v1/watch?from=${from}`, {
    headers: { authorization: 'Bearer operator-token' },
  })
  let text = ''
  for await (const chunk of response.body) {
    text += String(chunk)
    const events = text
      .split('\n')
      .slice(0, -1)
      .map(line => JSON.parse(line) as WatchEvent)
    const revisions = events.filter(({ type }) => type === 'changed').map(e => e.revision)
    if (revisions.length > 0) return revisions
  }
  return []
}

interface WatchEvent {
  readonly type: string
  readonly revision: number
}

describe('rackwalk', () => {
  it('shows help and refuses what it does not know', async () => {
    expect(await run(['nonsense'])).toMatchSnapshot()
    expect(await run(['get', 'teams', 'nobody'])).toMatchSnapshot()
    expect(await run(['get', 'nothings'])).toMatchSnapshot()
    expect(await run(['get', 'teams', '-o', 'xml'])).toMatchSnapshot()
    expect(await run(['completion', 'bash'])).toMatchSnapshot()
  })

  it('applies, compares, patches and deletes', async () => {
    const file = [
      'kind: budgets\nmetadata: { name: cli }\nspec: { team: team, limit: 1000 }',
      'kind: teams\nmetadata: { name: cli }\nspec: { budget: cli, keyHashes: [] }',
    ].join('\n---\n')
    const files = { 'team.yaml': file, 'more.yaml': file.replace('1000', '2000') }
    const versions = (text: string) => text.replaceAll(/version (is )?\d+/g, 'version N')
    const steps = [
      ['diff', '-f', 'team.yaml'],
      ['apply', '-f', 'team.yaml', '--dry-run'],
      ['apply', '-f', 'team.yaml'],
      ['diff', '-f', 'team.yaml'],
      ['diff', '-f', 'more.yaml'],
      ['patch', 'budgets', 'cli', '{"spec":{"limit":1500}}'],
      ['patch', 'budgets', 'cli', '{"spec":{"limit":-1}}'],
      ['delete', 'teams', 'cli', '--if-version', '1'],
      ['delete', 'teams', 'cli'],
      ['apply', '-f', 'missing.yaml'],
    ]
    const seen: string[] = []
    for (const step of steps) {
      const { code, output } = await run(step, files)
      seen.push(`$ ${step.join(' ')}\n${versions(output)}\n[${ExitCode[code]}]`)
    }
    expect(seen.join('\n')).toMatchSnapshot()
  })

  it('lists requests that crashed endpoints, and reports an unknown one as not found', async () => {
    expect(await run(['crashes'])).toMatchInlineSnapshot(`
      {
        "code": 0,
        "output": "FINGERPRINT  VERDICT  ENDS",
      }
    `)
    expect((await run(['clear', 'unknown'])).code).toBe(ExitCode.NotFound)
  })

  it('evacuates a failure domain, shows which instances have applied it, and restores the domain', async () => {
    const engine = {
      kind: 'endpoints',
      metadata: { name: 'hall-engine' },
      spec: {
        kind: 'service',
        address: 'http://127.0.0.1:9',
        service: 'hall-service',
        failureDomain: 'hall-a',
      },
    }
    await operator().put(engine)
    const address = fleet.fleet.members[0]?.addresses.callers ?? ''
    const ask = async () => {
      const headers = { authorization: `Bearer ${TEAM_KEY}` }
      const { body } = await request(`http://${address}/services/hall-service/x`, { headers })
      const text = await body.text()
      return (JSON.parse(text) as { error?: { code?: number } }).error?.code
    }
    const codes = async (expected: number) =>
      vi.waitFor(async () => expect(await ask()).toBe(expected), { timeout: 5_000 })
    // No process listens at the endpoint's address.
    await codes(ResultCode.EndpointRefused)
    const evacuated = await run(['evacuate', 'hall-a', '--reason', 'new power supply'])
    expect(evacuated).toMatchInlineSnapshot(`
      {
        "code": 0,
        "output": "hall-a gets nothing new; \`describe evacuations hall-a\` shows who has taken it in",
      }
    `)
    await codes(ResultCode.NoEndpoint)
    const inForce = async () => stable((await run(['describe', 'evacuations', 'hall-a'])).output)
    await vi.waitFor(async () => expect(await inForce()).not.toContain('not yet'), {
      timeout: 5_000,
    })
    expect((await inForce()).replace(/version \d+/, 'version N')).toMatchInlineSnapshot(`
      "FIELD VALUE
      kind evacuations
      name hall-a
      version N
      spec.reason new power supply
      in force on instance-0 yes
      in force on instance-1 yes
      in force on instance-2 yes"
    `)
    expect(await run(['restore', 'hall-a'])).toMatchInlineSnapshot(`
      {
        "code": 0,
        "output": "hall-a is used again",
      }
    `)
    await codes(ResultCode.EndpointRefused)
    expect((await run(['restore', 'hall-a'])).code).toBe(ExitCode.NotFound)
    await run(['delete', 'endpoints', 'hall-engine'])
  })

  it('explains a request, and shows where the tokens are', async () => {
    const answer = await streamChat(fleet.callers(), { word: 'w', tokens: 2 })
    const explained = await run(['explain', answer.requestId])
    const questions = stable(explained.output)
      .split('\n')
      .map(line => line.split(' ').slice(0, 2).join(' ').replaceAll(/\d+/g, 'N'))
    expect(questions).toMatchSnapshot()
    const budget = await run(['budget', 'team', '-o', 'json'])
    const { limit, settled, allocated, free } = JSON.parse(budget.output) as Record<string, number>
    expect(settled! + allocated! + free!).toBe(limit)
    const usage = await run(['usage', '--team', 'team', '-o', 'csv'])
    expect(usage.output.split('\n')[0]).toBe(
      'teamId,modelId,requests,promptTokens,generatedTokens,billedTokens',
    )
  })

  it('exits with the code Unavailable if the server is unreachable', async () => {
    const { code } = await run(['status', '--server', 'http://127.0.0.1:1'])
    expect(code).toBe(ExitCode.Unavailable)
  })
})
