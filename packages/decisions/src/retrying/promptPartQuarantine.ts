/**
 * Does a part of a prompt end what begins to answer it, whatever else the request holds?
 *
 * Load pattern: requests come at all instances, no two alike, and each ends the engine that begins to answer it. What they
 * share is one part of their prompts; sound requests share their team and their other parts, and run at the same engines.
 *
 * The part that ends engines has ends and never an answer. The sound parts beside it have both: the next sound request that
 * holds one clears it. So evidence is kept only of parts that were at an end without an answer, from the first such end on.
 *
 * | ends since the last answer with the part                        | verdict | goes to                                     |
 * | --------------------------------------------------------------- | ------- | ------------------------------------------- |
 * | none, or one                                                    | send    | the best endpoint                           |
 * | two                                                             | isolate | the endpoint that the part's hash names     |
 * | three, while others are answered                                | refuse  | none, until an answer, or a trial, clears it |
 * | three, each of them also under another such part, which the request lacks | isolate | as above: it may be sound         |
 *
 * Ends of one moment count once: a failure domain without power ends many engines under every part that is in use. What was
 * sent as suspected counts each time, since it went alone to an engine that all instances chose. While
 * nothing else is answered either, the engines have another trouble. What waits for tries at a time goes to one endpoint
 * that all instances choose, so that it costs one end.
 *
 * Limits: a part that is refused is tried again after a while, since its engines may have been mended; each trial that ends an
 * engine doubles the wait. An instance that hears of ends late lets a few more through. A part shared by all requests of a
 * route that end engines names the route.
 */

import type { EndpointStart, Milliseconds, PromptPartKey } from '@rackwalk/shared'
import type { QuarantineVerdict } from './quarantineVerdict.js'

/** An endpoint ended while requests with these parts were there without an answer. */
export interface PartCrash {
  readonly start: EndpointStart
  readonly parts: readonly PromptPartKey[]
  /** Whether one of these requests was sent there as suspected. */
  readonly wasIsolated?: boolean | undefined
  /** Time since the end. */
  readonly ageMilliseconds: Milliseconds
}

interface CountedCrash {
  /** Monotonic time. */
  readonly at: Milliseconds
  readonly wasIsolated: boolean
}

interface Evidence {
  readonly ends: Map<EndpointStart, CountedCrash>
  /** Answers that others had got here when the first end was noted. */
  readonly answersBefore: number
  /** Whether it is refused, by own evidence or by news. */
  isRefused: boolean
  /** Monotonic time of the newest end, or of the newest trial. */
  newestAt: Milliseconds
}

/** Ends that come within this time of each other have one cause, and count once. */
const CORRELATED_CRASH_MILLISECONDS: Milliseconds = 150
const CRASHES_TO_ISOLATE = 2
const CRASHES_TO_REFUSE = 3
/** Answers to other requests since the first end that show that engines are sound. */
const REQUIRED_OTHER_ANSWERS = 3
/** A refused part is tried again after this time, */
const TRIAL_INTERVAL_MILLISECONDS: Milliseconds = 60_000
/** and after no longer than this, however many trials it ended. */
const MAXIMUM_TRIAL_INTERVAL_MILLISECONDS: Milliseconds = 3_600_000
/** What is only suspected is forgotten after this time without another end. */
const SUSPECTED_MILLISECONDS: Milliseconds = 60_000
/** Ends that are remembered of one part. */
const REMEMBERED_ENDS = 8
/** Parts that are remembered, so that many different ones at an end can't fill the memory. */
const REMEMBERED_PARTS = 2_048

/** What one instance believes of parts of prompts. */
export class PromptPartQuarantine {
  /** The one that was touched last stands last. */
  private readonly parts = new Map<PromptPartKey, Evidence>()
  /** Ends of which a part was cleared, by part and start: news of them may come late, or again. The oldest first. */
  private readonly cleared = new Set<string>()
  /** Answers that began here. */
  private answers = 0

  /** Whether anything is held against any part: their keys are not worth making otherwise. */
  get isEmpty(): boolean {
    return this.parts.size === 0
  }

  /** Parts that are refused. */
  get refusedParts(): readonly PromptPartKey[] {
    return [...this.parts].flatMap(([part, { isRefused }]) => (isRefused ? [part] : []))
  }

  /** Whether a part is refused. */
  isRefused(part: PromptPartKey): boolean {
    return this.parts.get(part)?.isRefused === true
  }

  /** Ends that are held against a part. */
  crashedStartsOf(part: PromptPartKey): readonly EndpointStart[] {
    return [...(this.parts.get(part)?.ends.keys() ?? [])]
  }

  /** All that is held against parts, for an instance that was not there. */
  evidence(now: Milliseconds): readonly PartCrash[] {
    return [...this.parts].flatMap(([part, { ends }]) =>
      [...ends].map(([start, { at, wasIsolated }]) => {
        return { start, parts: [part], wasIsolated, ageMilliseconds: now - at }
      }),
    )
  }

  /** An endpoint ended; gives the parts that are refused from now on, by what is known here. */
  noteCrash(end: PartCrash, now: Milliseconds): readonly PromptPartKey[] {
    const held = end.parts.filter(part => !this.cleared.has(pairOf(part, end.start)))
    return held.filter(part => {
      const evidence = this.touch(part, now)
      countCrash(evidence, end, now)
      return this.judge(evidence)
    })
  }

  /** Another instance, or a record, says that a part is refused. */
  noteRefused(part: PromptPartKey, now: Milliseconds): void {
    const evidence = this.touch(part, now)
    evidence.isRefused = true
  }

  /** An answer began to a request with these parts; gives those that are cleared by it. */
  noteAnswered(parts: readonly PromptPartKey[]): readonly PromptPartKey[] {
    this.answers += 1
    const sound = parts.filter(part => this.parts.has(part))
    this.clear(sound)
    return sound
  }

  /** Another instance says that these parts had an answer. */
  clear(parts: readonly PromptPartKey[]): void {
    for (const part of parts) {
      for (const start of this.crashedStartsOf(part)) this.noteCleared(part, start)
      this.parts.delete(part)
    }
  }

  /** What to do with a request that holds these parts. */
  verdict(parts: readonly PromptPartKey[], now: Milliseconds): QuarantineVerdict {
    const held = new Set(parts)
    const known = parts.flatMap(part => this.parts.get(part) ?? [])
    for (const evidence of known) this.judge(evidence)
    const deadly = known.filter(({ isRefused }) => isRefused)
    const refused = deadly.filter(evidence => !this.isExplained(evidence, held))
    if (refused.some(evidence => !isTrialDue(evidence, now))) return 'refuse'
    const isSuspected = known.some(
      evidence => independentCrashes(evidence).length >= CRASHES_TO_ISOLATE,
    )
    return deadly.length > 0 || isSuspected ? 'isolate' : 'send'
  }

  /** The part by which a request is isolated: the one with the most ends, of equals the last, which fewer requests share. */
  isolatingPart(parts: readonly PromptPartKey[]): PromptPartKey | undefined {
    const most = Math.max(0, ...parts.map(part => this.parts.get(part)?.ends.size ?? 0))
    return most === 0 ? undefined : parts.findLast(part => this.parts.get(part)?.ends.size === most)
  }

  /** A request with these parts is sent though one is refused: the next trial has to wait. */
  noteTrial(parts: readonly PromptPartKey[], now: Milliseconds): readonly PromptPartKey[] {
    return parts.filter(part => {
      const evidence = this.parts.get(part)
      if (evidence?.isRefused !== true) return false
      evidence.newestAt = now
      return true
    })
  }

  /** Three ends in as many moments, while others are answered. */
  private judge(evidence: Evidence): boolean {
    if (evidence.isRefused) return false
    const isProven = independentCrashes(evidence).length >= CRASHES_TO_REFUSE
    evidence.isRefused = isProven && this.answers - evidence.answersBefore >= REQUIRED_OTHER_ANSWERS
    return evidence.isRefused
  }

  /** Whether a refused part that the request lacks was at all ends of this one. */
  private isExplained({ ends }: Evidence, held: ReadonlySet<PromptPartKey>): boolean {
    if (ends.size === 0) return false
    return [...this.parts].some(([part, other]) => {
      if (!other.isRefused || held.has(part)) return false
      return [...ends.keys()].every(start => other.ends.has(start))
    })
  }

  private noteCleared(part: PromptPartKey, start: EndpointStart): void {
    const [oldest] = this.cleared
    if (this.cleared.size >= REMEMBERED_PARTS && oldest !== undefined) this.cleared.delete(oldest)
    this.cleared.add(pairOf(part, start))
  }

  private touch(part: PromptPartKey, now: Milliseconds): Evidence {
    const known = this.parts.get(part) ?? {
      ends: new Map(),
      answersBefore: this.answers,
      isRefused: false,
      newestAt: now,
    }
    this.parts.delete(part)
    this.forgetOld(now)
    this.parts.set(part, known)
    return known
  }

  private forgetOld(now: Milliseconds): void {
    for (const [part, { isRefused, newestAt }] of this.parts) {
      const isOld = !isRefused && now - newestAt > SUSPECTED_MILLISECONDS
      if (isOld || this.parts.size >= REMEMBERED_PARTS) this.parts.delete(part)
    }
  }
}

function pairOf(part: PromptPartKey, start: EndpointStart): string {
  return `${part} ${start}`
}

function countCrash(
  evidence: Evidence,
  { start, wasIsolated = false, ageMilliseconds }: PartCrash,
  now: Milliseconds,
): void {
  const { ends } = evidence
  const at = now - ageMilliseconds
  const known = ends.get(start)
  if (known === undefined && ends.size >= REMEMBERED_ENDS) return
  ends.set(start, { at: known?.at ?? at, wasIsolated: wasIsolated || known?.wasIsolated === true })
  evidence.newestAt = Math.max(evidence.newestAt, at)
}

/** The ends that count: those of one moment once, but for what was sent as suspected. */
function independentCrashes({ ends }: Evidence): readonly CountedCrash[] {
  const inOrder = [...ends.values()].sort((left, right) => left.at - right.at)
  const moments: CountedCrash[] = []
  for (const end of inOrder) {
    const newest = moments.at(-1)?.at ?? Number.NEGATIVE_INFINITY
    if (end.wasIsolated || end.at - newest >= CORRELATED_CRASH_MILLISECONDS) moments.push(end)
  }
  return moments
}

function isTrialDue({ ends, newestAt }: Evidence, now: Milliseconds): boolean {
  const trials = Math.max(0, ends.size - CRASHES_TO_REFUSE)
  const wait = Math.min(
    MAXIMUM_TRIAL_INTERVAL_MILLISECONDS,
    TRIAL_INTERVAL_MILLISECONDS * 2 ** trials,
  )
  return now - newestAt >= wait
}
