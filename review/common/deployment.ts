import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { createSocket } from 'node:dgram'
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:net'
import type { AddressInfo } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { StoreStandIn } from '../../platform/__tests__/standIns/storeStandIn.js'
import { fillTemplate } from './fillTemplate.js'

/**
 * A small deployment: the project's own gateway processes, started with the command and the settings template of the
 * deploy file, before the project's stand-in of the platform's store. A process that ends is started again after a
 * short delay, as the platform does.
 */

const RESTART_MILLISECONDS = 300
const IP = '127.0.0.1'

/** The bounds of the site `docworks-rackwalk`. */
const BOUNDS = {
  contact_ms: 3_000,
  drain_ms: 2_000,
  grace_s: 8,
  config_apply_ms: 2_000,
  retry_budget_ratio: 0.2,
  retry_window_s: 10,
  retry_extra: 56,
}

/** One end of a process. */
export interface ProcessEnd {
  readonly node: string
  readonly atMilliseconds: number
  readonly code: number | null
  readonly signal: NodeJS.Signals | null
}

/** One machine with its gateway process. */
export interface Machine {
  readonly node: string
  /** IP:PORT for callers. */
  readonly front: string
  readonly ready: string
  readonly directory: string
  process: ChildProcess
}

export class Deployment {
  readonly store = new StoreStandIn()
  readonly machines: Machine[] = []
  /** Ends that this script did not ask for. */
  readonly ends: ProcessEnd[] = []
  private readonly folder = mkdtempSync(join(tmpdir(), 'rackwalk-review-'))
  private readonly command = runCommand()
  private readonly startedAt = Date.now()
  private isStopping = false

  constructor(private readonly recordFile: string) {
    writeFileSync(recordFile, '')
    // No process outlives the script, however the script ends.
    process.once('exit', () => this.killAll())
    for (const signal of ['SIGTERM', 'SIGINT'] as const) process.once(signal, () => process.exit(2))
  }

  /** Milliseconds since the start of the script. */
  get now(): number {
    return Date.now() - this.startedAt
  }

  /** Writes one line of the record. */
  note(text: string): void {
    appendFileSync(this.recordFile, `${(this.now / 1000).toFixed(3)} ${text}\n`)
  }

  async start(zones: readonly string[]): Promise<void> {
    const address = await this.store.start()
    const ports = await freePorts(zones.length * 6)
    const controls = zones.map((_, index) => `${IP}:${ports[index * 6 + 2]}`)
    for (const [index, zone] of zones.entries()) {
      const own = ports.slice(index * 6, index * 6 + 6)
      this.startMachine(`edge-${zone}-${index + 1}`, zone, own, controls, address)
    }
    await this.untilReady()
  }

  stop(): void {
    this.killAll()
    this.store.stop()
    rmSync(this.folder, { recursive: true, force: true })
  }

  private killAll(): void {
    this.isStopping = true
    for (const machine of this.machines) machine.process.kill('SIGKILL')
  }

  private startMachine(
    node: string,
    zone: string,
    [front, ready, control, directory, loads, metrics]: readonly number[],
    seeds: readonly string[],
    store: string,
  ): void {
    const fields = {
      node_name: node,
      ip: IP,
      zone,
      region: 'atl',
      internal_ports: [loads],
      seeds,
      listen: {
        front: `${IP}:${front}`,
        ready: `${IP}:${ready}`,
        control: `${IP}:${control}`,
        directory: `${IP}:${directory}`,
      },
      limits: { cpu_share: 0.675, cores: 1, link_mbps: 1_000 },
      bounds: BOUNDS,
      platform: { address: store, writes_per_s: 800, part_writes_per_s: 150 },
    }
    const filled = fillTemplate(readFileSync('deploy/settings.yaml', 'utf8'), fields)
    // The template's fixed port for metrics would be taken by the second machine of this host.
    const settings = filled.replace(`"${IP}:9464"`, `"${IP}:${metrics}"`)
    const file = join(this.folder, `${node}.yaml`)
    writeFileSync(file, settings)
    const { listen } = fields
    const { front: address, ready: readiness } = listen
    const machine = { node, front: address, ready: readiness, directory: listen.directory }
    this.machines.push({ ...machine, process: this.spawnAt(node, file, machine.front) })
  }

  private spawnAt(node: string, file: string, front: string): ChildProcess {
    const [program = 'node', ...words] = this.command
    const env = { PATH: process.env['PATH'], HOME: process.env['HOME'], RACKWALK_NODE_FILE: file }
    const child = spawn(program, words, { env, stdio: ['ignore', 'pipe', 'pipe'] })
    this.note(`${node} starts, front ${front}, process ${child.pid}`)
    child.stdout.resume()
    child.stderr.on('data', (bytes: Buffer) => this.noteError(node, bytes.toString('utf8')))
    child.once('exit', (code, signal) => {
      if (this.isStopping) return
      this.ends.push({ node, atMilliseconds: this.now, code, signal })
      this.note(`${node} process ${child.pid} ended by itself: code ${code}, signal ${signal}`)
      setTimeout(() => this.restart(node, file, front), RESTART_MILLISECONDS)
    })
    return child
  }

  private restart(node: string, file: string, front: string): void {
    const machine = this.machines.find(known => known.node === node)
    if (this.isStopping || machine === undefined) return
    machine.process = this.spawnAt(node, file, front)
  }

  private noteError(node: string, text: string): void {
    const words = text.split('\n').find(line => /^\w*Error\b/.test(line))
    if (words !== undefined) this.note(`${node} standard error: ${words.trim()}`)
  }

  private async untilReady(): Promise<void> {
    const until = Date.now() + 20_000
    for (const { ready } of this.machines) {
      while (!(await isReady(ready))) {
        if (Date.now() > until) throw new Error('the machines did not become ready')
        await pause(50)
      }
    }
  }
}

export function pause(milliseconds: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, milliseconds))
}

/** The words of the deploy file's `run`. */
function runCommand(): readonly string[] {
  const words = /^run = "(.*)"$/m.exec(readFileSync('deploy/system.toml', 'utf8'))?.[1]
  if (words === undefined) throw new Error('the deploy file has no run')
  return words.split(' ')
}

async function isReady(address: string): Promise<boolean> {
  try {
    return (await fetch(`http://${address}/readyz`)).status === 200
  } catch {
    return false
  }
}

/** Returns ports on which neither TCP nor UDP is in use. */
async function freePorts(count: number): Promise<number[]> {
  const held = await Promise.all(Array.from({ length: count }, holdPort))
  const ports = held.map(({ port }) => port)
  await Promise.all(held.map(({ release }) => release()))
  return ports
}

async function holdPort(): Promise<{ port: number; release: () => Promise<void> }> {
  for (;;) {
    const server = createServer()
    await new Promise<void>(resolve => server.listen(0, IP, resolve))
    const { port } = server.address() as AddressInfo
    const release = () => new Promise<void>(resolve => server.close(() => resolve()))
    if (await isFreeForDatagrams(port)) return { port, release }
    await release()
  }
}

function isFreeForDatagrams(port: number): Promise<boolean> {
  const socket = createSocket('udp4')
  return new Promise(resolve => {
    socket.once('error', () => resolve(false))
    socket.bind(port, IP, () => socket.close(() => resolve(true)))
  })
}
