/**
 * Starts a whole fleet of the OpenAI-style kind in one process and configures it through the operator API.
 */

import { readFileSync } from 'node:fs'
import { cac } from 'cac'
import { parseAllDocuments } from 'yaml'
import * as z from 'zod'
import { hashApiKey } from '@rackwalk/router'
import { EngineStandIn } from './engine/engineStandIn.js'
import { LocalFleet } from './localFleet.js'
import { LocalPlatform } from './localPlatform.js'
import type { OperatorClient, ResourceDocument } from './operatorClient.js'
import { ServiceStandIn } from './serviceStandIn.js'

const INSTANCES = 3
const ENGINES = 4
const SERVICES = ['pitches', 'manuals']
const CALLER_PORT = 8080
const OPERATOR_PORT = 8090
/** The token that the README documents. A real operator chooses a secret token. */
const OPERATOR_TOKEN = 'quickstart-operator'
const EXAMPLE = new URL('../../../examples/quickstart.yaml', import.meta.url)

const documentSchema = z.looseObject({
  kind: z.string(),
  metadata: z.looseObject({ name: z.string() }),
  spec: z.unknown(),
})

async function run(ports: string | undefined): Promise<void> {
  const platform = new LocalPlatform()
  await platform.start()
  const engines = await startEngines()
  const services = await startServices()
  const fleet = new LocalFleet(platform, {
    instances: INSTANCES,
    operatorToken: OPERATOR_TOKEN,
    ports: ports === '0' ? undefined : { callers: CALLER_PORT, operators: OPERATOR_PORT },
  })
  await fleet.start()
  const addresses = new Map([...engines, ...services].map(({ name, port }) => [name, port]))
  const revision = await configure(fleet.operator(), addresses)
  await fleet.whenInForce(revision)
  printAddresses(fleet)
  process.once('SIGINT', () => void drainAndExit(fleet))
  process.once('SIGTERM', () => void drainAndExit(fleet))
}

async function startEngines() {
  const names = Array.from({ length: ENGINES }, (_, number) => `engine-${number}`)
  return Promise.all(names.map(async name => ({ name, port: await new EngineStandIn().listen() })))
}

async function startServices() {
  return Promise.all(
    SERVICES.map(async name => ({ name, port: await new ServiceStandIn(name).listen() })),
  )
}

/** Applies the example's resources after filling in `{port:NAME}` and `{hash:KEY}`. Returns the revision. */
async function configure(
  operator: OperatorClient,
  ports: ReadonlyMap<string, number>,
): Promise<number> {
  const text = readFileSync(EXAMPLE, 'utf8')
    .replaceAll(/\{port:([\w-]+)\}/g, (_, name: string) => String(ports.get(name)))
    .replaceAll(/\{hash:([\w-]+)\}/g, (_, key: string) => hashApiKey(key))
  let revision = 0
  for (const document of parseAllDocuments(text)) {
    const resource = documentSchema.parse(document.toJS()) as ResourceDocument
    const { status, body } = await operator.put(resource)
    if (status !== 200) throw new Error(`${resource.metadata.name}: ${JSON.stringify(body)}`)
    revision = (body['metadata'] as { version: number }).version
  }
  return revision
}

function printAddresses(fleet: LocalFleet): void {
  console.log('rackwalk ready')
  for (const { instanceId, addresses } of fleet.members) {
    console.log(`${instanceId} callers http://${addresses.callers}`)
    console.log(`${instanceId} operators http://${addresses.operators}`)
  }
}

async function drainAndExit(fleet: LocalFleet): Promise<void> {
  await fleet.drain()
  process.exit(0)
}

const program = cac('quickstart')
program
  .command('', 'Run a small fleet with stand-ins of the platform and of endpoints')
  .option('--ports <first>', 'Pass 0 to take free ports')
  .action((flags: { readonly ports?: unknown }) =>
    run(flags.ports === undefined ? undefined : String(flags.ports)),
  )
program.help()
program.parse()
