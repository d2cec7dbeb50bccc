/**
 * Tracks which endpoints this instance can reach. Owns the connection checks that follow a failed
 * connect, and the set of services that this instance is cut off from, that is, of which it can
 * connect to no endpoint. The rule is in decisions/choosing/endpointReachability. A failed check
 * may be due to the link or to the endpoint, so it never counts as a sign that the endpoint has
 * terminated.
 */

import { isServiceUnreachable, linksToProbe, unreachableLinks } from '@rackwalk/decisions'
import type { EndpointLink } from '@rackwalk/decisions'
import { sleep } from '@rackwalk/shared'
import type { Clock, Milliseconds, RandomSource } from '@rackwalk/shared'
import { isLinkUp } from './linkProbe.js'

/** An endpoint as the link monitor sees it. */
export interface MonitoredEndpoint {
  /** Name of the service or model. */
  readonly service: string
  /** IP:PORT. */
  readonly address: string
  readonly link: EndpointLink
  /** Records that a new connection to the endpoint works. */
  noteConnected(): void
  /** Records that a new connection to the endpoint was not established, or that nothing was answered on it. */
  noteConnectFailed(): void
}

/** Dependencies of a link monitor. */
export interface LinkMonitorParts<Endpoint extends MonitoredEndpoint> {
  readonly clock: Clock
  readonly random: RandomSource
  /** Returns the listed endpoints of a service, whether or not their links are up. */
  readonly endpointsOf: (service: string) => readonly Endpoint[]
  /** Returns the endpoints of all other services. */
  readonly endpointsOfOthers: (service: string) => readonly Endpoint[]
  /** Called when this instance becomes cut off from a service, and when it no longer is. */
  readonly onCutOff: (service: string, isCutOff: boolean) => void
  /**
   * Path at which the endpoints of a service report their state without using a request slot;
   * undefined if they do not. Defaults to none.
   */
  readonly statePathOf?: (service: string) => string | undefined
  /**
   * Whether the link to IP:PORT is up, and the state at the path, if there is one, is answered in
   * time. Defaults to a real probe.
   */
  readonly isLinkUp?: (address: string, statePath: string | undefined) => Promise<boolean>
}

/** Pause between checks of a service, short so that links are used again soon after a recovery. */
const CHECK_MILLISECONDS: Milliseconds = 400

interface LinkedEndpoint<Endpoint> extends EndpointLink {
  readonly endpoint: Endpoint
}

/** Monitors the links from one instance to its endpoints. */
export class LinkMonitor<Endpoint extends MonitoredEndpoint> {
  /** Services whose links are being checked repeatedly. */
  private readonly checkedServices = new Set<string>()
  private readonly unreachableServices = new Set<string>()
  /** Services whose links are doubted although connections come up, until their checks end. */
  private readonly doubtedServices = new Set<string>()
  /** Addresses of unreachable endpoints by service, as of the latest check. */
  private readonly unreachableAddresses = new Map<string, ReadonlySet<string>>()
  private readonly isLinkUp: (address: string, statePath: string | undefined) => Promise<boolean>
  private isStopped = false

  constructor(private readonly parts: LinkMonitorParts<Endpoint>) {
    this.isLinkUp = parts.isLinkUp ?? isLinkUp
  }

  stop(): void {
    this.isStopped = true
  }

  /** Services of which this instance reaches no endpoint, as of the latest checks. */
  get cutOffServices(): readonly string[] {
    return [...this.unreachableServices]
  }

  /** Whether this instance reaches no endpoint of a service, as of the latest check. */
  isCutOff(service: string): boolean {
    return this.unreachableServices.has(service)
  }

  /** Returns the endpoints of a service that were unreachable at the latest check. */
  unreachableEndpoints(service: string): ReadonlySet<Endpoint> {
    const lost = this.unreachableAddresses.get(service)
    if (lost === undefined) return new Set()
    return new Set(this.parts.endpointsOf(service).filter(({ address }) => lost.has(address)))
  }

  /**
   * Records a failed connection and starts to check whether this instance reaches the endpoints of
   * the service.
   */
  noteConnectFailed(endpoint: Endpoint): void {
    endpoint.noteConnectFailed()
    this.startChecking(endpoint.service)
  }

  /**
   * The links of a service are doubted although connections come up: a request has been silent for
   * long with no answer from any endpoint, or a near instance has lost its links.
   */
  noteDoubted(service: string): void {
    this.doubtedServices.add(service)
    this.startChecking(service)
  }

  /**
   * Checks the links of a service at least once, and then repeatedly until none of its endpoints is
   * unreachable.
   */
  startChecking(service: string): void {
    if (this.checkedServices.has(service) || this.isStopped) return
    this.checkedServices.add(service)
    void this.checkUntilReached(service).finally(() => {
      this.checkedServices.delete(service)
      this.doubtedServices.delete(service)
    })
  }

  /**
   * Whether this instance reaches any endpoint other than the one at `address`. If not, a refused
   * connection at `address` may be due to this instance's links and proves nothing about the
   * endpoint. Returns true if there is no other endpoint. If the other endpoints of the service
   * fail, endpoints of other services are checked, since all endpoints of one service may have
   * terminated.
   */
  async reachesOthers(address: string, service: string): Promise<boolean> {
    const { endpointsOf, endpointsOfOthers } = this.parts
    const sameService = endpointsOf(service).filter(endpoint => endpoint.address !== address)
    const otherServices = endpointsOfOthers(service)
    if (sameService.length + otherServices.length === 0) return true
    return (await this.connectsToAny(sameService)) || this.connectsToAny(otherServices)
  }

  /**
   * Whether any of the endpoints takes a connection. No answer is awaited: a path that takes
   * connections elsewhere is enough to tell an endpoint that refuses one from a cut.
   */
  private async connectsToAny(endpoints: readonly Endpoint[]): Promise<boolean> {
    const connected = await Promise.all(
      this.probed(endpoints).map(({ endpoint }) => this.isLinkUp(endpoint.address, undefined)),
    )
    return connected.includes(true)
  }

  private async reachesAny(endpoints: readonly Endpoint[]): Promise<boolean> {
    const reached = await Promise.all(this.probed(endpoints).map(link => this.check(link)))
    return reached.includes(true)
  }

  private probed(endpoints: readonly Endpoint[]): readonly LinkedEndpoint<Endpoint>[] {
    return linksToProbe(endpoints.map(linked), this.now, this.parts.random.next())
  }

  private async checkUntilReached(service: string): Promise<void> {
    await this.checkOnce(service)
    while (this.unreachableAddresses.has(service) && !this.isStopped) {
      await sleep(this.parts.clock, CHECK_MILLISECONDS)
      await this.checkOnce(service)
    }
  }

  private async checkOnce(service: string): Promise<void> {
    const chosen = this.probed(this.parts.endpointsOf(service))
    if (await this.isUnanswered(service)) {
      for (const { endpoint } of chosen) endpoint.noteConnectFailed()
    } else {
      await Promise.all(chosen.map(link => this.check(link)))
    }
    this.updateReachability(service)
  }

  /**
   * Whether the links of a service are doubted whose endpoints do not report their state, and no
   * endpoint of another service that does answers. A connection proves nothing then.
   */
  private async isUnanswered(service: string): Promise<boolean> {
    if (!this.doubtedServices.has(service) || this.statePathOf(service) !== undefined) return false
    const reporting = this.parts
      .endpointsOfOthers(service)
      .filter(endpoint => this.statePathOf(endpoint.service) !== undefined)
    return reporting.length > 0 && !(await this.reachesAny(reporting))
  }

  private async check({ endpoint }: LinkedEndpoint<Endpoint>): Promise<boolean> {
    const isUp = await this.isLinkUp(endpoint.address, this.statePathOf(endpoint.service))
    if (isUp) endpoint.noteConnected()
    else endpoint.noteConnectFailed()
    return isUp
  }

  private statePathOf(service: string): string | undefined {
    return this.parts.statePathOf?.(service)
  }

  /**
   * Updates the reachability of a service. Runs only after a check, not after the failed connection
   * of a request: requests go to the endpoints that look idle, so without a check of other
   * endpoints, several that terminate one after the other would look like a lost link.
   */
  private updateReachability(service: string): void {
    const links = this.linksOf(service)
    const unreached = [...unreachableLinks(links, this.now)].map(({ endpoint }) => endpoint.address)
    if (unreached.length > 0) this.unreachableAddresses.set(service, new Set(unreached))
    else this.unreachableAddresses.delete(service)
    const isUnreachable = isServiceUnreachable(links, this.now)
    if (isUnreachable === this.unreachableServices.has(service)) return
    if (isUnreachable) this.unreachableServices.add(service)
    else this.unreachableServices.delete(service)
    this.parts.onCutOff(service, isUnreachable)
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
