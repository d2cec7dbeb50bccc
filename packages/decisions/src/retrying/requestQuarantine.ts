/**
 * Decides whether a request that may have crashed an endpoint is sent normally, isolated on one endpoint, or refused.
 *
 * Load pattern: a caller's request crashes every endpoint that begins to run it, and is sent again every quarter of a
 * second, each time under a new id and at another instance. If it were treated as a new request it would crash every
 * endpoint, and each of them again after its restart.
 *
 * Inputs: crash marks (request fingerprint, endpoint start, and whether the request was isolated) and clearances, from this
 * instance and from others. An endpoint start is one run of an endpoint: its id and start time. The rule uses no times.
 *
 * A crash has many possible causes, and many harmless requests run at the same endpoint. So a single crash only makes
 * those requests suspect that had no part of an answer yet. A suspect request is still served, but at the one endpoint
 * that all instances choose for it by hash, so that concurrent attempts from several instances cost one endpoint and
 * not several. A crash under an isolated request is the proof: the request is refused everywhere from then on. Any part
 * of an answer clears the request of the crashes known by then.
 *
 * | uncleared crashes while the request was unanswered | verdict | goes to                                        |
 * | -------------------------------------------------- | ------- | ---------------------------------------------- |
 * | none                                               | send    | the best endpoint                              |
 * | one or more, all sent normally                     | isolate | the endpoint that its hash selects             |
 * | one or more sent in isolation                      | refuse  | none, until an answer or an operator clears it |
 *
 * Limits: several crashes at once (a rack without power) prove nothing, since the request was not isolated at any of
 * them. A request whose answer had begun is not suspected. The crashes and clearances of a request are sets that only
 * grow, so instances that learn of them in any order reach the same verdict, up to the maximum numbers held.
 */

import type { EndpointStart, PromptPartKey, RequestFingerprint } from '@rackwalk/shared'
import type { QuarantineVerdict } from './quarantineVerdict.js'
import type { PartCrash } from './promptPartQuarantine.js'

/** Records that an endpoint crashed while a request was there and had no part of an answer. */
export interface CrashMark {
  readonly fingerprint: RequestFingerprint
  readonly start: EndpointStart
  /** Whether the request was isolated there as a suspect. */
  readonly wasIsolated: boolean
}

/** A request that is cleared of the crashes of these starts. */
interface ClearedRequest {
  readonly fingerprint: RequestFingerprint
  readonly starts: readonly EndpointStart[]
}

/** A gossip message: what an instance has found out about crashes, for all other instances. */
export interface CrashGossip {
  readonly marks: readonly CrashMark[]
  readonly cleared: readonly ClearedRequest[]
  /** Requests that were reset by endpoints which the sender is probing. */
  readonly suspected?: readonly CrashMark[]
  /**
   * Terminated starts whose address still accepts connections and did not answer a moment ago. A front (a proxy or load
   * balancer in front of the engine) listens there.
   */
  readonly away?: readonly EndpointStart[]
  /** Starts that were probed after a reset and are alive. */
  readonly lives?: readonly EndpointStart[]
  /** Crashes, each with the prompt parts that were unanswered at the endpoint. */
  readonly partEnds?: readonly PartCrash[]
  /** Prompt parts that are refused from now on. */
  readonly deadlyParts?: readonly PromptPartKey[]
  /** Prompt parts that are cleared because an answer to a request with them has begun. */
  readonly soundParts?: readonly PromptPartKey[]
  /** Refused prompt parts of which a request is sent as a trial, to see whether they still crash endpoints. */
  readonly triedParts?: readonly PromptPartKey[]
}

/** What is held about one request. */
interface SuspectRequest {
  /** For each start that crashed: whether the request was isolated there. */
  readonly crashes: Map<EndpointStart, boolean>
  /** Starts of whose crashes the request was cleared. They are kept, since gossip about those crashes may arrive late. */
  readonly cleared: Set<EndpointStart>
}

/**
 * Maximum number of requests held, so that a caller who sends many different ones cannot fill the memory. Beyond it an
 * instance forgets the least recently updated request that is not refused, or else the least recently updated of all.
 */
const MAXIMUM_REQUESTS = 4_096
/**
 * Number of leading characters of a fingerprint that depend on path and team only. They let a caller hash the body only if
 * its path and team are under suspicion, since hashing takes time.
 */
export const SCOPE_PREFIX_LENGTH = 6
/**
 * Maximum number of crashes held per request, and of clearances. A refused request usually has two or three crashes. Beyond
 * it the crash that was cleared first is forgotten, so that a request that was harmless for long can still be marked.
 */
const MAXIMUM_CRASHES = 16

/** The crash marks and verdicts of requests that one instance holds. */
export class RequestQuarantine {
  /** Ordered by the newest mark or clearance, the least recent first. */
  private readonly requests = new Map<RequestFingerprint, SuspectRequest>()
  /** Isolated and refused requests, by the scope prefix of their fingerprints. */
  private readonly scopes = new Map<string, Set<RequestFingerprint>>()

  /** Whether an isolated or refused request has this scope prefix. If none has, the caller need not hash the body. */
  hasSuspectsInScope(scope: string): boolean {
    return this.scopes.has(scope)
  }

  /** Number of refused requests. */
  get refusedCount(): number {
    return this.fingerprints.filter(fingerprint => this.verdict(fingerprint) === 'refuse').length
  }

  /** Fingerprints of all requests held, including cleared ones, the least recently updated first. */
  get fingerprints(): readonly RequestFingerprint[] {
    return [...this.requests.keys()]
  }

  /** Returns what to do with a request according to its crash marks. */
  verdict(fingerprint: RequestFingerprint): QuarantineVerdict {
    const crashes = this.unclearedCrashes(fingerprint)
    if (crashes.length === 0) return 'send'
    return crashes.some(([, wasIsolated]) => wasIsolated) ? 'refuse' : 'isolate'
  }

  /** Returns the crash marks of which a request is not cleared. */
  unclearedMarksOf(fingerprint: RequestFingerprint): readonly CrashMark[] {
    return this.unclearedCrashes(fingerprint).map(([start, wasIsolated]) => {
      return { fingerprint, start, wasIsolated }
    })
  }

  /**
   * Records a crash mark. Marks may arrive in any order. Returns false if the mark is known already, says less than a known
   * one, or exceeds the maximum number of uncleared crashes.
   */
  noteMark({ fingerprint, start, wasIsolated }: CrashMark): boolean {
    const suspect = this.touch(fingerprint)
    const { crashes } = suspect
    const known = crashes.get(start)
    if (known === true || known === wasIsolated) return false
    if (known === undefined && !makeRoom(suspect)) return false
    crashes.set(start, wasIsolated)
    this.updateScope(fingerprint)
    return true
  }

  /** Clears a request of the crashes of these starts, because its answer has begun or an operator cleared the request. */
  clear(fingerprint: RequestFingerprint, starts: readonly EndpointStart[]): void {
    const suspect = this.touch(fingerprint)
    for (const start of starts) {
      if (suspect.cleared.size >= MAXIMUM_CRASHES) forgetFirstCleared(suspect)
      suspect.cleared.add(start)
    }
    this.updateScope(fingerprint)
  }

  /** Updates `scopes` after the verdict on a request may have changed. */
  private updateScope(fingerprint: RequestFingerprint): void {
    const scope = fingerprint.slice(0, SCOPE_PREFIX_LENGTH)
    const suspects = this.scopes.get(scope) ?? new Set()
    if (this.verdict(fingerprint) === 'send') suspects.delete(fingerprint)
    else suspects.add(fingerprint)
    if (suspects.size > 0) this.scopes.set(scope, suspects)
    else this.scopes.delete(scope)
  }

  private unclearedCrashes(fingerprint: RequestFingerprint): readonly [EndpointStart, boolean][] {
    const known = this.requests.get(fingerprint)
    if (known === undefined) return []
    return [...known.crashes].filter(([start]) => !known.cleared.has(start))
  }

  /** Returns a request as the most recent one, and creates its entry if there is none. */
  private touch(fingerprint: RequestFingerprint): SuspectRequest {
    const known = this.requests.get(fingerprint) ?? { crashes: new Map(), cleared: new Set() }
    this.requests.delete(fingerprint)
    if (this.requests.size >= MAXIMUM_REQUESTS) this.forgetOne()
    this.requests.set(fingerprint, known)
    return known
  }

  /** Forgets the least recently updated request that is not refused, or else the least recently updated of all. */
  private forgetOne(): void {
    const { fingerprints } = this
    const unrefused = fingerprints.find(candidate => this.verdict(candidate) !== 'refuse')
    const oldest = unrefused ?? fingerprints[0]
    if (oldest === undefined) return
    this.requests.delete(oldest)
    this.updateScope(oldest)
  }
}

/** Makes room for one more crash. Returns false if none of the crashes held is cleared. */
function makeRoom(suspect: SuspectRequest): boolean {
  while (suspect.crashes.size >= MAXIMUM_CRASHES) {
    if (!forgetFirstCleared(suspect)) return false
  }
  return true
}

/** Forgets the crash that was cleared first, with its clearance. Returns false if none is cleared. */
function forgetFirstCleared({ crashes, cleared }: SuspectRequest): boolean {
  const [first] = cleared
  if (first === undefined) return false
  cleared.delete(first)
  crashes.delete(first)
  return true
}
