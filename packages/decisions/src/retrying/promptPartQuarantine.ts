/**
 * Decides whether a prompt part crashes the engines that begin to answer it, whatever else the request contains, and
 * whether requests with that part are sent, isolated (sent only to the endpoint that the part's hash selects) or refused.
 *
 * Load pattern: requests arrive at all instances, no two alike, and each crashes the engine that begins to answer it.
 * They share one part of their prompts. Harmless requests share their team and their other parts, and run at the same
 * engines. The quarantine of single requests cannot stop this, since every request is a new one.
 *
 * Inputs: crashes with the prompt parts that were unanswered at that endpoint, answers with their parts, and the same
 * as reported by other instances. All times are monotonic milliseconds; a crash is reported with its age, since monotonic
 * clocks of two instances cannot be compared.
 *
 * The crash-inducing part has crashes and never an answer. The harmless parts beside it have both, and the next harmless
 * request that contains such a part clears it. So evidence is kept only of parts that were unanswered at a crash, from the
 * first such crash on.
 *
 * | counted crashes since the last answer with the part | verdict | goes to                                      |
 * | --------------------------------------------------- | ------- | -------------------------------------------- |
 * | none or one                                         | send    | the best endpoint                            |
 * | two, or three while no other requests are answered  | isolate | the endpoint that the part's hash selects    |
 * | three, while other requests are answered            | refuse  | none, until a trial or an operator clears it |
 * | refused, and a trial is due                         | isolate | as above; an answer to the trial clears it   |
 * | refused, and another refused part explains it       | isolate | as above, since the part may be harmless     |
 *
 * Another refused part explains a refusal if the request lacks that other part and all of the crashes are held against it
 * too.
 * A part is also refused if another instance or a stored record refuses it. A request with several parts gets the strictest
 * of their verdicts.
 *
 * Crashes at the same moment count once: a failure domain without power terminates many engines under every part in
 * use. A crash under an isolated request counts each time, since that request went alone to an engine that all
 * instances chose. If fewer than three other requests are answered, the engines may have another problem, and this instance
 * refuses nothing by its own evidence. Concurrent attempts with a suspected part go to the one endpoint that all instances
 * choose, so that together they cost one crash.
 *
 * Limits: a refused part is tried again after a while, since its engines may have been repaired; each trial that
 * crashes an engine doubles the wait. An instance that learns of crashes late lets a few more requests through. If all
 * requests of a route share a part and crash engines, refusing the part refuses the route.
 */

import type { EndpointStart, Milliseconds, PromptPartKey } from '@rackwalk/shared'
import type { QuarantineVerdict } from './quarantineVerdict.js'

/** A crash of an endpoint while requests with these prompt parts were unanswered there. */
export interface PartCrash {
  readonly start: EndpointStart
  readonly parts: readonly PromptPartKey[]
  /** Whether a request with these parts was sent there in isolation. Taken as false if undefined. */
  readonly wasIsolated?: boolean | undefined
  /** Time from the crash to this report. */
  readonly ageMilliseconds: Milliseconds
}

/** A crash that is held against a part. */
interface CountedCrash {
  /** Monotonic time of the crash. */
  readonly at: Milliseconds
  /** Whether a request with the part was sent there in isolation. */
  readonly wasIsolated: boolean
}

/** The evidence that is held against one part. */
interface Evidence {
  /** The crashes since the last answer with the part, by the start (run of an endpoint) that crashed. */
  readonly crashes: Map<EndpointStart, CountedCrash>
  /** Number of answers that had begun at this instance when the evidence was created. */
  readonly answersBefore: number
  /** Whether the part is refused, by this instance's own evidence or by gossip. */
  isRefused: boolean
  /** Monotonic time of the newest crash, the newest trial or the creation of the evidence, whichever is latest. */
  newestAt: Milliseconds
}

/** A crash within this time after the last counted one has the same cause and does not count, unless it was isolated. */
const CORRELATED_CRASH_MILLISECONDS: Milliseconds = 150
/** Number of counted crashes after which requests with the part are isolated. */
const CRASHES_TO_ISOLATE = 2
/** Number of counted crashes after which a part may be refused. */
const CRASHES_TO_REFUSE = 3
/** Number of answers to other requests at this instance since the first crash that show that the engines are sound. */
const REQUIRED_OTHER_ANSWERS = 3
/** Time after which a refused part is tried again. Each crash after the third doubles this time. */
const TRIAL_INTERVAL_MILLISECONDS: Milliseconds = 60_000
/**
 * Upper bound on the time between two trials. Since at most MAXIMUM_CRASHES crashes are held per part, the doubling stops
 * below this bound, at 32 minutes.
 */
const MAXIMUM_TRIAL_INTERVAL_MILLISECONDS: Milliseconds = 3_600_000
/**
 * A part that is not refused is forgotten after this time without another crash, as soon as a crash or refusal of any part
 * is recorded.
 */
const SUSPICION_MILLISECONDS: Milliseconds = 60_000
/** Maximum number of crashes held per part. Crashes of further starts are ignored. */
const MAXIMUM_CRASHES = 8
/**
 * Maximum number of parts held, so that crashes under many different parts cannot fill the memory. Beyond it the least
 * recently recorded part is forgotten, even if it is refused. Also the maximum number of clearances held.
 */
const MAXIMUM_PARTS = 2_048

/** The evidence against prompt parts that one instance holds. */
export class PromptPartQuarantine {
  /** Ordered by the newest recorded crash or refusal, the least recent first. */
  private readonly parts = new Map<PromptPartKey, Evidence>()
  /**
   * Crashes of which a part was cleared, as part and start, oldest first. Gossip about such a crash may arrive late or
   * again, and must not be held against the part.
   */
  private readonly cleared = new Set<string>()
  /** Number of answers that have begun at this instance. */
  private answers = 0

  /** Whether no evidence is held against any part. In that case the caller need not compute part keys. */
  get isEmpty(): boolean {
    return this.parts.size === 0
  }

  /** The refused parts. */
  get refusedParts(): readonly PromptPartKey[] {
    return [...this.parts].flatMap(([part, { isRefused }]) => (isRefused ? [part] : []))
  }

  /** Whether a part is refused. */
  isRefused(part: PromptPartKey): boolean {
    return this.parts.get(part)?.isRefused === true
  }

  /** Returns the endpoint starts whose crashes are held against a part. */
  crashedStartsOf(part: PromptPartKey): readonly EndpointStart[] {
    return [...(this.parts.get(part)?.crashes.keys() ?? [])]
  }

  /** Returns all crashes that are held against parts, one entry per part and start, for an instance that has just joined. */
  evidence(now: Milliseconds): readonly PartCrash[] {
    return [...this.parts].flatMap(([part, { crashes }]) =>
      [...crashes].map(([start, { at, wasIsolated }]) => {
        return { start, parts: [part], wasIsolated, ageMilliseconds: now - at }
      }),
    )
  }

  /**
   * Records a crash and returns the parts that this instance begins to refuse because of it. Parts that were cleared of
   * this crash are left out.
   */
  noteCrash(crash: PartCrash, now: Milliseconds): readonly PromptPartKey[] {
    const uncleared = crash.parts.filter(part => !this.cleared.has(clearanceKey(part, crash.start)))
    return uncleared.filter(part => {
      const evidence = this.touch(part, now)
      recordCrash(evidence, crash, now)
      return this.judge(evidence)
    })
  }

  /** Records that another instance or a stored record refuses a part. */
  noteRefused(part: PromptPartKey, now: Milliseconds): void {
    const evidence = this.touch(part, now)
    evidence.isRefused = true
  }

  /** Records that an answer to a request with these parts has begun, and returns the parts that the answer clears. */
  noteAnswered(parts: readonly PromptPartKey[]): readonly PromptPartKey[] {
    this.answers += 1
    const cleared = parts.filter(part => this.parts.has(part))
    this.clear(cleared)
    return cleared
  }

  /** Clears parts of all crashes held, for example because another instance reported an answer to a request with them. */
  clear(parts: readonly PromptPartKey[]): void {
    for (const part of parts) {
      for (const start of this.crashedStartsOf(part)) this.noteCleared(part, start)
      this.parts.delete(part)
    }
  }

  /** Returns what to do with a request that contains these parts. */
  verdict(parts: readonly PromptPartKey[], now: Milliseconds): QuarantineVerdict {
    const requestParts = new Set(parts)
    const known = parts.flatMap(part => this.parts.get(part) ?? [])
    for (const evidence of known) this.judge(evidence)
    const refused = known.filter(({ isRefused }) => isRefused)
    const unexplained = refused.filter(evidence => !this.isExplained(evidence, requestParts))
    if (unexplained.some(evidence => !isTrialDue(evidence, now))) return 'refuse'
    const isSuspected = known.some(
      evidence => independentCrashes(evidence).length >= CRASHES_TO_ISOLATE,
    )
    return refused.length > 0 || isSuspected ? 'isolate' : 'send'
  }

  /**
   * Returns the part whose hash selects the endpoint of an isolated request: the part with the most crashes held, and among
   * equals the last of the prompt, which fewer requests share. Returns undefined if no part has a crash.
   */
  isolatingPart(parts: readonly PromptPartKey[]): PromptPartKey | undefined {
    const most = Math.max(0, ...parts.map(part => this.parts.get(part)?.crashes.size ?? 0))
    return most === 0
      ? undefined
      : parts.findLast(part => this.parts.get(part)?.crashes.size === most)
  }

  /**
   * Records that a request with these parts is sent, which is a trial of the refused ones among them. Returns the refused
   * ones. Their time until the next trial begins again.
   */
  noteTrial(parts: readonly PromptPartKey[], now: Milliseconds): readonly PromptPartKey[] {
    return parts.filter(part => {
      const evidence = this.parts.get(part)
      if (evidence?.isRefused !== true) return false
      evidence.newestAt = now
      return true
    })
  }

  /** Refuses a part after three counted crashes while other requests are answered. Returns whether this call refused it. */
  private judge(evidence: Evidence): boolean {
    if (evidence.isRefused) return false
    const isProven = independentCrashes(evidence).length >= CRASHES_TO_REFUSE
    evidence.isRefused = isProven && this.answers - evidence.answersBefore >= REQUIRED_OTHER_ANSWERS
    return evidence.isRefused
  }

  /** Whether all crashes of a part also count against another refused part that the request lacks. */
  private isExplained({ crashes }: Evidence, requestParts: ReadonlySet<PromptPartKey>): boolean {
    if (crashes.size === 0) return false
    return [...this.parts].some(([part, other]) => {
      if (!other.isRefused || requestParts.has(part)) return false
      return [...crashes.keys()].every(start => other.crashes.has(start))
    })
  }

  private noteCleared(part: PromptPartKey, start: EndpointStart): void {
    const [oldest] = this.cleared
    if (this.cleared.size >= MAXIMUM_PARTS && oldest !== undefined) this.cleared.delete(oldest)
    this.cleared.add(clearanceKey(part, start))
  }

  /** Returns the evidence against a part as the most recent one, and creates the evidence if there is none. */
  private touch(part: PromptPartKey, now: Milliseconds): Evidence {
    const known = this.parts.get(part) ?? {
      crashes: new Map(),
      answersBefore: this.answers,
      isRefused: false,
      newestAt: now,
    }
    this.parts.delete(part)
    this.forgetOld(now)
    this.parts.set(part, known)
    return known
  }

  /** Forgets old evidence against parts that are not refused, and makes room for one more part. */
  private forgetOld(now: Milliseconds): void {
    for (const [part, { isRefused, newestAt }] of this.parts) {
      const isOld = !isRefused && now - newestAt > SUSPICION_MILLISECONDS
      if (isOld || this.parts.size >= MAXIMUM_PARTS) this.parts.delete(part)
    }
  }
}

function clearanceKey(part: PromptPartKey, start: EndpointStart): string {
  return `${part} ${start}`
}

/** Adds a crash to the evidence against a part. A repeated report keeps the first time of the crash. */
function recordCrash(
  evidence: Evidence,
  { start, wasIsolated = false, ageMilliseconds }: PartCrash,
  now: Milliseconds,
): void {
  const { crashes } = evidence
  const at = now - ageMilliseconds
  const known = crashes.get(start)
  if (known === undefined && crashes.size >= MAXIMUM_CRASHES) return
  crashes.set(start, {
    at: known?.at ?? at,
    wasIsolated: wasIsolated || known?.wasIsolated === true,
  })
  evidence.newestAt = Math.max(evidence.newestAt, at)
}

/** Returns the crashes that count: those at the same moment once, and each crash under an isolated request. */
function independentCrashes({ crashes }: Evidence): readonly CountedCrash[] {
  const inOrder = [...crashes.values()].sort((left, right) => left.at - right.at)
  const counted: CountedCrash[] = []
  for (const crash of inOrder) {
    const newest = counted.at(-1)?.at ?? Number.NEGATIVE_INFINITY
    if (crash.wasIsolated || crash.at - newest >= CORRELATED_CRASH_MILLISECONDS) counted.push(crash)
  }
  return counted
}

/** Whether a refused part has waited long enough since its newest crash or trial to be tried again. */
function isTrialDue({ crashes, newestAt }: Evidence, now: Milliseconds): boolean {
  const failedTrials = Math.max(0, crashes.size - CRASHES_TO_REFUSE)
  const wait = Math.min(
    MAXIMUM_TRIAL_INTERVAL_MILLISECONDS,
    TRIAL_INTERVAL_MILLISECONDS * 2 ** failedTrials,
  )
  return now - newestAt >= wait
}
