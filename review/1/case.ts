import { AppServer } from '../common/appServer.js'
import type { Trouble } from '../common/appServer.js'
import { Client } from '../common/client.js'
import type { Try } from '../common/client.js'
import {
  DEADLINE_MILLISECONDS,
  FETCH_PATH,
  HOST,
  KEY,
  SERVICE,
  docsConfiguration,
} from '../common/configuration.js'
import { Deployment, pause } from '../common/deployment.js'

/**
 * One of three servers spoils 2 in 100 of its answers in one byte, the first digit of the status. The gateway process
 * that reads such an answer ends, and with it every request that it has at the sound servers.
 */

const hasTrouble = process.env['TROUBLE'] !== '0'
const ZONES = ['marietta', 'norcross']
const SERVERS = 3
const CLIENTS_OF_A_MACHINE = 12
/** `contact_ms` is 3,000: machines are in touch before the disruption begins. */
const CALM_MILLISECONDS = 4_000
/** Length of `garble` in the site file. */
const TROUBLE_MILLISECONDS = 5_500
/** One spoiled answer in so many: `x = 0.02` of the site file's `garble`. */
const SPOILED_ONE_IN = 50
/** What LOST allows. */
const ALLOWED_CUTS = 3
/** Time after a process's first end by itself within which a client sees its connection end. */
const FIRST_END_MILLISECONDS = 200

class Garble implements Trouble {
  isOn = false
  readonly spoiled: string[] = []
  private answers = 0

  constructor(private readonly note: (text: string) => void) {}

  spoil(answer: string, server: AppServer, { id }: { id: string }): string {
    if (!this.isOn || !answer.startsWith('HTTP/1.1 200')) return answer
    this.answers += 1
    if (this.answers % SPOILED_ONE_IN !== 0) return answer
    this.spoiled.push(id)
    this.note(`${server.id} spoils its answer to ${id}: status 200 becomes 000`)
    return answer.replace('HTTP/1.1 200', 'HTTP/1.1 000')
  }
}

async function main(): Promise<number> {
  const deployment = new Deployment('review/1/record.txt')
  const note = (text: string) => deployment.note(text)
  const garble = new Garble(note)
  const servers = Array.from({ length: SERVERS }, (_, index) => {
    const trouble = index === 0 ? garble : {}
    return new AppServer({
      id: `i-docs-${index}`,
      slots: 6,
      queue: 24,
      workMilliseconds: 43,
      note,
      trouble,
    })
  })
  const tries: Try[] = []
  let isOver = false
  try {
    for (const server of servers) {
      await server.start()
      deployment.store.putServer(server.id, {
        service: SERVICE,
        address: server.address,
        zone: ZONES[0],
        version: 'v1',
        slots: 6,
        state: 'ready',
      })
    }
    deployment.store.putConfiguration(docsConfiguration())
    await deployment.start(ZONES)
    await pause(CALM_MILLISECONDS)
    const clients = deployment.machines.flatMap(({ front }) =>
      Array.from({ length: CLIENTS_OF_A_MACHINE }, () => keepSending(front)),
    )
    await pause(CALM_MILLISECONDS)
    note(`the disruption begins: ${hasTrouble ? 'garble' : 'none'}`)
    garble.isOn = hasTrouble
    await pause(TROUBLE_MILLISECONDS)
    garble.isOn = false
    note('the disruption ends')
    isOver = true
    await Promise.all(clients)
    return judge()
  } finally {
    isOver = true
    deployment.stop()
    for (const server of servers) server.stop()
  }

  async function keepSending(front: string): Promise<void> {
    const options = {
      host: HOST,
      path: FETCH_PATH,
      key: KEY,
      deadlineMilliseconds: DEADLINE_MILLISECONDS,
    }
    const client = new Client(front, options)
    while (!isOver) {
      const seen = await client.send(() => deployment.now)
      tries.push(seen)
      if (seen.status !== 200) note(`client of ${front}: ${seen.id} ends with ${seen.status}`)
      await pause(seen.status === 200 ? 10 : 100)
    }
    client.close()
  }

  function judge(): number {
    const sound = new Set(servers.slice(1).flatMap(({ runs }) => runs))
    const cut = tries.filter(seen => {
      return seen.status === undefined && seen.answeredBefore > 0 && sound.has(seen.id)
    })
    // Only a machine's first end is judged: until then it was in touch without any doubt.
    const judged = cut.filter(({ front, endedAt }) => {
      const node = deployment.machines.find(machine => machine.front === front)?.node
      const first = deployment.ends.find(end => end.node === node)
      return first !== undefined && endedAt <= first.atMilliseconds + FIRST_END_MILLISECONDS
    })
    for (const { id, front } of judged)
      note(`cut: ${id}, run by a sound server, kept connection to ${front} ended without an answer`)
    const served = tries.filter(({ status }) => status === 200).length
    const { ends } = deployment
    note(
      `tries ${tries.length}, served ${served}, spoiled answers ${garble.spoiled.length}, ` +
        `ends of gateway processes by themselves ${ends.length}, ` +
        `requests of kept connections at sound servers that were cut ${cut.length}, ` +
        `of these at the first end of their machine's process ${judged.length}`,
    )
    if (served < 100) {
      note('the case could not run: hardly a request was served')
      return 2
    }
    const isBroken = judged.length > ALLOWED_CUTS
    note(isBroken ? 'LOST is broken' : 'the rule held')
    return isBroken ? 1 : 0
  }
}

main().then(
  code => process.exit(code),
  (error: unknown) => {
    console.error(error)
    process.exit(2)
  },
)
