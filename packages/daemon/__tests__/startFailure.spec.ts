import { spawn } from 'node:child_process'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:net'
import type { AddressInfo, Server } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { stringify } from 'yaml'

/** Real `rackwalkd` processes that cannot start. */

const PROGRAM = new URL('../dist/main.js', import.meta.url).pathname
const ADAPTER = new URL('../../../platform/dist/index.js', import.meta.url).pathname
const ANY_PORT = '127.0.0.1:0'
const NOBODY = '127.0.0.1:9'

let folder: string
let occupier: Server
let taken: string

beforeEach(async () => {
  folder = mkdtempSync(join(tmpdir(), 'rackwalk-'))
  occupier = createServer()
  await new Promise<void>(resolve => occupier.listen(0, '127.0.0.1', resolve))
  taken = `127.0.0.1:${(occupier.address() as AddressInfo).port}`
})

afterEach(() => {
  occupier.close()
  rmSync(folder, { recursive: true })
})

interface End {
  readonly code: number | null
  readonly printed: string
}

/** Runs the program until it exits by itself. */
function runToEnd(settings: object): Promise<End> {
  const file = join(folder, 'settings.yaml')
  writeFileSync(file, stringify(settings))
  const env = { ...process.env, STAND_IN_SECRET: 'stand-in' }
  const child = spawn(process.execPath, [PROGRAM, '--settings', file], { env })
  let printed = ''
  child.stdout.on('data', (bytes: Buffer) => (printed += bytes.toString()))
  child.stderr.on('data', (bytes: Buffer) => (printed += bytes.toString()))
  return new Promise(resolve => child.once('close', code => resolve({ code, printed })))
}

const instance = { id: 'entry', region: 'local', failureDomain: 'local' }

function openAiSettings(): object {
  const secret = { environment: 'STAND_IN_SECRET' }
  const access = { endpoint: `http://${NOBODY}`, accessKeyId: secret, secretAccessKey: secret }
  return {
    instance,
    listen: { callers: taken, operators: ANY_PORT, peers: ANY_PORT },
    platform: { table: { ...access, name: 'table' }, objects: { ...access, bucket: 'bucket' } },
    operators: [{ name: 'operator', tokenHash: '0'.repeat(64) }],
  }
}

function gatewaySettings(): object {
  return {
    kind: 'gateway',
    adapter: ADAPTER,
    instance,
    listen: { callers: taken, readiness: ANY_PORT, metrics: ANY_PORT },
    store: { address: NOBODY, writesPerSecond: 100 },
  }
}

describe('a process that cannot listen', () => {
  it.each([
    ['of the OpenAI-style kind', openAiSettings],
    ['of the gateway kind', gatewaySettings],
  ])('%s exits with a numbered error instead of staying partly up', async (_kind, settings) => {
    const { code, printed } = await runToEnd(settings())
    expect(code).toBe(1)
    expect(printed).toContain(`6003 cannot listen: ${taken}: EADDRINUSE`)
  })
})
