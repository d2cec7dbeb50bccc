/**
 * Is a request sent that may have ended an endpoint, and where?
 *
 * Load pattern: a caller's request ends whatever begins to run it, and comes again every quarter of a second, each time
 * under a new id and at another instance. Sent on as if it were new it would end every endpoint, and each again once that is
 * back.
 *
 * An endpoint's end has many causes, and many innocent requests run there. So one end only makes suspected what had no
 * part of an answer yet: the request goes on to be served, but at the one endpoint that all instances choose for it by
 * hash, so that tries that come at once from several of them cost one endpoint and not several. An end under a request
 * that was sent in this way proves it: it is refused everywhere from then on. Any part of an answer clears it.
 *
 * | ends while it was unanswered          | verdict | goes to                                    |
 * | ------------------------------------- | ------- | ------------------------------------------ |
 * | none                                  | send    | the best endpoint                          |
 * | one or several, sent as any other     | isolate | the endpoint that its hash names           |
 * | one or more, sent as suspected        | refuse  | none, until an answer or an operator clears |
 *
 * Limits: several ends at once (a rack without power) prove nothing, since nobody had sent the request as suspected. What
 * had begun to answer is not suspected. What is known of an end is a set that only grows, so instances that hear of ends
 * and answers in any order believe the same.
 */

import type { EndpointStart, PromptPartKey, RequestFingerprint } from '@rackwalk/shared'
import type { QuarantineVerdict } from './quarantineVerdict.js'
import type { PartCrash } from './promptPartQuarantine.js'

/** An endpoint ended while a request was there and had no part of an answer. */
export interface CrashMark {
  readonly fingerprint: RequestFingerprint
  readonly start: EndpointStart
  /** Whether the request was sent there as suspected. */
  readonly wasIsolated: boolean
}

/** A request that is cleared of these ends. */
interface ClearedRequest {
  readonly fingerprint: RequestFingerprint
  readonly starts: readonly EndpointStart[]
}

/** What an instance has found out and the others should know. */
export interface CrashGossip {
  readonly marks: readonly CrashMark[]
  readonly cleared: readonly ClearedRequest[]
  /** Requests that were broken off by endpoints at which it is looked now. */
  readonly suspected?: readonly CrashMark[]
  /** Starts behind whose address something listens that did not answer a moment ago. */
  readonly away?: readonly EndpointStart[]
  /** Starts that were looked at for a break, and live. */
  readonly lives?: readonly EndpointStart[]
  /** Ends, by the parts of prompts that were there without an answer. */
  readonly partEnds?: readonly PartCrash[]
  /** Parts that are refused from now on, */
  readonly deadlyParts?: readonly PromptPartKey[]
  /** that had an answer, */
  readonly soundParts?: readonly PromptPartKey[]
  /** or of which a request is sent to see whether they still end endpoints. */
  readonly triedParts?: readonly PromptPartKey[]
}

interface SuspectRequest {
  /** By start: whether the request was sent there as suspected. */
  readonly ends: Map<EndpointStart, boolean>
  /** Ends of which it was cleared; kept, since news of them may come late. */
  readonly cleared: Set<EndpointStart>
}

/**
 * Requests that are remembered at the most, so that a caller who sends many different ones can't fill the memory. Beyond them
 * each instance loses the oldest, those that are only suspected first.
 */
const MAXIMUM_REQUESTS = 4_096
/**
 * A fingerprint begins with so many characters of what is known without the body: only bodies of paths and teams under
 * suspicion are worth the time that hashing takes.
 */
export const SCOPE_PREFIX_LENGTH = 6
/** Ends that are remembered of one request: a proven one has two or three. */
const MAXIMUM_CRASHES = 16

/** What one instance believes of requests under which endpoints ended. */
export class RequestQuarantine {
  /** The one that was touched last stands last. */
  private readonly requests = new Map<RequestFingerprint, SuspectRequest>()
  /** Suspected requests, by what is known of them without their bodies. */
  private readonly scopes = new Map<string, Set<RequestFingerprint>>()

  /** Whether a request that is known so far may be suspected; its body is not looked at otherwise. */
  hasSuspectsInScope(scope: string): boolean {
    return this.scopes.has(scope)
  }

  /** Requests that are refused. */
  get refusedCount(): number {
    return this.fingerprints.filter(fingerprint => this.verdict(fingerprint) === 'refuse').length
  }

  get fingerprints(): readonly RequestFingerprint[] {
    return [...this.requests.keys()]
  }

  verdict(fingerprint: RequestFingerprint): QuarantineVerdict {
    const ends = this.openEnds(fingerprint)
    if (ends.length === 0) return 'send'
    return ends.some(([, wasIsolated]) => wasIsolated) ? 'refuse' : 'isolate'
  }

  /** Ends of which a request is not cleared. */
  openMarksOf(fingerprint: RequestFingerprint): readonly CrashMark[] {
    return this.openEnds(fingerprint).map(([start, wasIsolated]) => {
      return { fingerprint, start, wasIsolated }
    })
  }

  /** Takes an end in, in whatever order; false where nothing is new. */
  noteMark({ fingerprint, start, wasIsolated }: CrashMark): boolean {
    const { ends } = this.touch(fingerprint)
    const known = ends.get(start)
    if (known === true || known === wasIsolated) return false
    if (known === undefined && ends.size >= MAXIMUM_CRASHES) return false
    ends.set(start, wasIsolated)
    this.noteScope(fingerprint)
    return true
  }

  /** An endpoint answered a part of it, or an operator says so: these ends are not held against it. */
  clear(fingerprint: RequestFingerprint, starts: readonly EndpointStart[]): void {
    const { cleared } = this.touch(fingerprint)
    for (const start of starts) if (cleared.size < MAXIMUM_CRASHES) cleared.add(start)
    this.noteScope(fingerprint)
  }

  private noteScope(fingerprint: RequestFingerprint): void {
    const scope = fingerprint.slice(0, SCOPE_PREFIX_LENGTH)
    const suspects = this.scopes.get(scope) ?? new Set()
    if (this.verdict(fingerprint) === 'send') suspects.delete(fingerprint)
    else suspects.add(fingerprint)
    if (suspects.size > 0) this.scopes.set(scope, suspects)
    else this.scopes.delete(scope)
  }

  private openEnds(fingerprint: RequestFingerprint): readonly [EndpointStart, boolean][] {
    const known = this.requests.get(fingerprint)
    if (known === undefined) return []
    return [...known.ends].filter(([start]) => !known.cleared.has(start))
  }

  private touch(fingerprint: RequestFingerprint): SuspectRequest {
    const known = this.requests.get(fingerprint) ?? { ends: new Map(), cleared: new Set() }
    this.requests.delete(fingerprint)
    if (this.requests.size >= MAXIMUM_REQUESTS) this.forgetOne()
    this.requests.set(fingerprint, known)
    return known
  }

  /** The oldest that is not refused, or else the oldest. */
  private forgetOne(): void {
    const { fingerprints } = this
    const harmless = fingerprints.find(candidate => this.verdict(candidate) !== 'refuse')
    const oldest = harmless ?? fingerprints[0]
    if (oldest === undefined) return
    this.requests.delete(oldest)
    this.noteScope(oldest)
  }
}
