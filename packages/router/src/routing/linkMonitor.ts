/**
 * Knows which endpoints this instance reaches. Owns the checks of links after a connection that did not come up, and which
 * services it is cut off from; the rule is in decisions/choosing/endpointReach. Nothing that it finds is told of an endpoint.
 */

import { connect } from 'node:net'
import { isServiceUnreachable, linksToProbe, unreachableLinks } from '@rackwalk/decisions'
import type { EndpointLink } from '@rackwalk/decisions'
import { sleep } from '@rackwalk/shared'
import type { Clock, Milliseconds, RandomSource } from '@rackwalk/shared'

/** An endpoint, as far as the way to it is concerned. */
export interface MonitoredEndpoint {
  /** Service or model. */
  readonly service: string
  /** IP:PORT. */
  readonly address: string
  readonly link: EndpointLink
  /** A new connection to it came up, */
  noteConnected(): void
  /** or did not. */
  noteConnectFailed(): void
}

/** What the watch works with. */
export interface LinkMonitorParts<Endpoint extends MonitoredEndpoint> {
  readonly clock: Clock
  readonly random: RandomSource
  /** Endpoints of a service that are there, whether or not their links are up. */
  readonly endpointsOf: (service: string) => readonly Endpoint[]
  /** Endpoints of all other services. */
  readonly endpointsOfOthers: (service: string) => readonly Endpoint[]
  /** This instance is cut off from a service, or no longer. */
  readonly onCutOff: (service: string, isCutOff: boolean) => void
  /** Whether a connection to IP:PORT comes up; over the network unless it is given. */
  readonly connects?: (address: string) => Promise<boolean>
}

/** A connection comes up within this time, or its link is lost: a request may wait for it. */
const CONNECT_MILLISECONDS: Milliseconds = 150
/** Links that are lost are checked this often, so that they are used again soon after they are back. */
const CHECK_MILLISECONDS: Milliseconds = 400

interface LinkedEndpoint<Endpoint> extends EndpointLink {
  readonly endpoint: Endpoint
}

/** The links from one instance to endpoints. */
export class LinkMonitor<Endpoint extends MonitoredEndpoint> {
  /** Services whose links are checked. */
  private readonly checked = new Set<string>()
  private readonly cutOff = new Set<string>()
  /** Addresses of endpoints that are not reached, by service, as the newest check showed. */
  private readonly unreachableAddresses = new Map<string, ReadonlySet<string>>()
  private readonly connects: (address: string) => Promise<boolean>
  private isStopped = false

  constructor(private readonly parts: LinkMonitorParts<Endpoint>) {
    this.connects = parts.connects ?? canConnect
  }

  stop(): void {
    this.isStopped = true
  }

  /** Services of which no endpoint is reached. */
  get cutOffServices(): readonly string[] {
    return [...this.cutOff]
  }

  /** Whether no endpoint of a service is reached. */
  isCutOff(service: string): boolean {
    return this.cutOff.has(service)
  }

  /** Endpoints of a service that are not reached. */
  unreachableEndpoints(service: string): ReadonlySet<Endpoint> {
    const lost = this.unreachableAddresses.get(service)
    if (lost === undefined) return new Set()
    return new Set(this.parts.endpointsOf(service).filter(({ address }) => lost.has(address)))
  }

  /** A new connection to an endpoint did not come up: it is found out whether others do. */
  noteConnectFailed(endpoint: Endpoint): void {
    endpoint.noteConnectFailed()
    this.startChecking(endpoint.service)
  }

  /** The links to a service are in doubt, and are checked until they are not. */
  startChecking(service: string): void {
    if (this.checked.has(service) || this.isStopped) return
    this.checked.add(service)
    void this.checkUntilReached(service).finally(() => {
      this.checked.delete(service)
    })
  }

  /**
   * Whether this instance reaches others than the endpoint at this address. Where it does not, that nobody listens there
   * tells of the link and not of the endpoint; true where there is no other. Those of other services are asked last: all
   * of one service may have ended.
   */
  async reachesOthers(address: string, service: string): Promise<boolean> {
    const { endpointsOf, endpointsOfOthers } = this.parts
    const beside = endpointsOf(service).filter(endpoint => endpoint.address !== address)
    const elsewhere = endpointsOfOthers(service)
    if (beside.length + elsewhere.length === 0) return true
    return (await this.reachesAny(beside)) || this.reachesAny(elsewhere)
  }

  private async reachesAny(endpoints: readonly Endpoint[]): Promise<boolean> {
    const chosen = linksToProbe(endpoints.map(linked), this.now, this.parts.random.next())
    const reached = await Promise.all(chosen.map(link => this.check(link)))
    return reached.includes(true)
  }

  private async checkUntilReached(service: string): Promise<void> {
    await this.checkOnce(service)
    while (this.unreachableAddresses.has(service) && !this.isStopped) {
      await sleep(this.parts.clock, CHECK_MILLISECONDS)
      await this.checkOnce(service)
    }
  }

  private async checkOnce(service: string): Promise<void> {
    const chosen = linksToProbe(this.linksOf(service), this.now, this.parts.random.next())
    await Promise.all(chosen.map(link => this.check(link)))
    this.judge(service)
  }

  private async check({ endpoint }: LinkedEndpoint<Endpoint>): Promise<boolean> {
    const isUp = await this.connects(endpoint.address)
    if (isUp) endpoint.noteConnected()
    else endpoint.noteConnectFailed()
    return isUp
  }

  /** Only a check tells: endpoints that end one after the other look like a cut to requests, which try those that look idle. */
  private judge(service: string): void {
    const links = this.linksOf(service)
    const unreached = [...unreachableLinks(links, this.now)].map(({ endpoint }) => endpoint.address)
    if (unreached.length > 0) this.unreachableAddresses.set(service, new Set(unreached))
    else this.unreachableAddresses.delete(service)
    const isLost = isServiceUnreachable(links, this.now)
    if (isLost === this.cutOff.has(service)) return
    if (isLost) this.cutOff.add(service)
    else this.cutOff.delete(service)
    this.parts.onCutOff(service, isLost)
  }

  private linksOf(service: string): readonly LinkedEndpoint<Endpoint>[] {
    return this.parts.endpointsOf(service).map(linked)
  }

  private get now(): Milliseconds {
    return this.parts.clock.monotonic()
  }
}

function linked<Endpoint extends MonitoredEndpoint>(endpoint: Endpoint): LinkedEndpoint<Endpoint> {
  return { endpoint, ...endpoint.link }
}

/** Whether a connection to IP:PORT comes up in time; nothing is sent on it. */
function canConnect(address: string): Promise<boolean> {
  const [host = '', port = ''] = address.split(':')
  return new Promise(resolve => {
    const socket = connect({ host, port: Number(port) })
    const finish = (isUp: boolean) => {
      clearTimeout(timer)
      socket.destroy()
      resolve(isUp)
    }
    let isConnected = false
    // On a busy processor the timer is late, and the connection may be up and wait to be seen: that comes first.
    const giveUp = () => setImmediate(() => finish(isConnected))
    const timer = setTimeout(giveUp, CONNECT_MILLISECONDS)
    socket.on('connect', () => {
      isConnected = true
      finish(true)
    })
    socket.on('error', () => finish(false))
  })
}
