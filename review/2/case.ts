import { AppServer } from '../common/appServer.js'
import type { Arrival, Trouble } from '../common/appServer.js'
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
 * Servers that are full decline requests as not executed. Some of them give a surplus copy of such an answer later, in
 * the place where the answer to the next request of the connection is due, with the id of the earlier request. The
 * gateway takes it for the answer to the request that the server is running, and tells that client "not executed".
 */

const hasTrouble = process.env['TROUBLE'] !== '0'
const ZONES = ['marietta', 'norcross']
const SERVERS = 3
/** The site's `garble` with `extra late` strikes 0.6 of a service's servers. */
const TROUBLED_SERVERS = 1
const SLOTS = 6
const QUEUE = 3
const CLIENTS_OF_A_MACHINE = 18
/** `contact_ms` is 3,000: machines are in touch before the disruption begins. */
const CALM_MILLISECONDS = 4_000
/** Length of `garble` with `extra late` in the site file. */
const TROUBLE_MILLISECONDS = 5_000
/** One surplus answer in so many, less than `x = 0.03` of the site file. */
const SURPLUS_ONE_IN = 34
const PROMISES = new Set([408, 421, 429, 503])

class SurplusAnswers implements Trouble {
  isOn = false
  given = 0
  private answers = 0
  /** Surplus answers that are due on a connection. */
  private readonly due = new WeakMap<object, { readonly id: string; readonly answer: string }>()

  constructor(private readonly note: (text: string) => void) {}

  spoil(answer: string, _: AppServer, { id, socket }: Arrival): string {
    if (!this.isOn) return answer
    this.answers += 1
    const isDeclined = answer.includes('X-Rackwalk-Not-Executed')
    if (this.answers >= SURPLUS_ONE_IN && isDeclined) {
      this.answers = 0
      this.due.set(socket, { id, answer })
    }
    return answer
  }

  arrive(server: AppServer, { id, socket }: Arrival): void {
    const surplus = this.due.get(socket)
    if (surplus === undefined) return
    this.due.delete(socket)
    this.given += 1
    this.note(`${server.id} receives ${id} and repeats its answer to ${surplus.id}`)
    socket.write(surplus.answer)
  }
}

async function main(): Promise<number> {
  const deployment = new Deployment('review/2/record.txt')
  const note = (text: string) => deployment.note(text)
  const surplus = new SurplusAnswers(note)
  const servers = Array.from({ length: SERVERS }, (_, index) => {
    const trouble = index < TROUBLED_SERVERS ? surplus : {}
    return new AppServer({
      id: `i-docs-${index}`,
      slots: SLOTS,
      queue: QUEUE,
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
        slots: SLOTS,
        state: 'ready',
      })
    }
    deployment.store.putConfiguration(docsConfiguration())
    await deployment.start(ZONES)
    await pause(CALM_MILLISECONDS)
    const clients = deployment.machines.flatMap(({ front }) =>
      Array.from({ length: CLIENTS_OF_A_MACHINE }, () => keepSending(front)),
    )
    await pause(1_000)
    note(`the disruption begins: ${hasTrouble ? 'surplus answers' : 'none'}`)
    surplus.isOn = hasTrouble
    await pause(TROUBLE_MILLISECONDS)
    surplus.isOn = false
    note('the disruption ends')
    isOver = true
    await Promise.all(clients)
    // Requests that wait at a server would run by now.
    await pause(500)
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
      await pause(seen.status === 200 ? 5 : 50)
    }
    client.close()
  }

  function judge(): number {
    const runs = new Map<string, string>()
    for (const server of servers) for (const id of server.runs) runs.set(id, server.id)
    const promised = tries.filter(({ status }) => PROMISES.has(status ?? 0))
    const broken = promised.filter(({ id }) => runs.has(id))
    for (const { id, status } of broken)
      note(`REFUSED: ${id} was answered with ${status}, and ${runs.get(id)} has run it`)
    const served = tries.filter(({ status }) => status === 200).length
    note(
      `tries ${tries.length}, served ${served}, told "not executed" ${promised.length}, ` +
        `surplus answers ${surplus.given}, told "not executed" though run ${broken.length}`,
    )
    if (served < 100 || (hasTrouble && surplus.given === 0)) {
      note('the case could not run: hardly a request was served, or no surplus answer was given')
      return 2
    }
    note(broken.length > 0 ? 'REFUSED is broken' : 'the rule held')
    return broken.length > 0 ? 1 : 0
  }
}

main().then(
  code => process.exit(code),
  (error: unknown) => {
    console.error(error)
    process.exit(2)
  },
)
