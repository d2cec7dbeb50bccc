/**
 * Quarantines prompt parts (such as a shared document) that crash endpoints in any request that contains
 * them. Without it, each new request with such a part would crash another endpoint. Owns the evidence that
 * this instance knows. Changes go to the other instances as messages (gossip), which the owner of the guard
 * sends. The rule is in decisions/retrying/promptPartQuarantine.
 */

import { PromptPartQuarantine } from '@rackwalk/decisions'
import type { CrashGossip, QuarantineVerdict } from '@rackwalk/decisions'
import type { Clock, EndpointStart, PromptPartKey } from '@rackwalk/shared'
import type { ResetRequest } from './endpointCrashDetector.js'
import { promptPartKeys } from './promptPartKey.js'

/** Dependencies and callbacks of a guard. */
export interface PromptPartGuardParts {
  readonly clock: Clock
  /** Sends gossip to all other instances. */
  readonly broadcast: (gossip: CrashGossip) => void
  /** A part is refused from now on, or no longer refused. */
  readonly onPromptPartVerdict: (part: PromptPartKey, isRefused: boolean) => void
}

/** The parts of a prompt, with the service that the prompt is sent to. */
export interface ServicePrompt {
  readonly service: string
  readonly promptParts: readonly { readonly id: string }[]
}

const NO_KEYS: readonly PromptPartKey[] = []

/** Crash evidence of one instance against prompt parts. */
export class PromptPartGuard {
  private readonly crashingParts = new PromptPartQuarantine()

  constructor(private readonly parts: PromptPartGuardParts) {}

  /** Keys of the parts of a prompt; empty while no part is suspected. */
  keysOf(prompt: ServicePrompt): readonly PromptPartKey[] {
    if (this.crashingParts.isEmpty) return NO_KEYS
    return promptPartKeys(prompt.service, prompt.promptParts)
  }

  /** The verdict on a request that contains these parts. */
  verdict(keys: readonly PromptPartKey[]): QuarantineVerdict {
    return keys.length === 0 ? 'send' : this.crashingParts.verdict(keys, this.now)
  }

  /** The part whose hash selects the endpoint of an isolated request; undefined if no part is suspected. */
  isolationKey(keys: readonly PromptPartKey[]): PromptPartKey | undefined {
    return this.crashingParts.isolatingPart(keys)
  }

  /** Number of refused parts. */
  get refusedCount(): number {
    return this.crashingParts.refusedParts.length
  }

  isRefused(part: PromptPartKey): boolean {
    return this.crashingParts.isRefused(part)
  }

  /** Endpoint starts (runs of endpoints) that crashed while an unanswered request with the part was there. */
  startsOf(part: PromptPartKey): readonly EndpointStart[] {
    return this.crashingParts.crashedStartsOf(part)
  }

  /** An endpoint crashed while these requests were in flight to it without an answer. */
  noteCrash(start: EndpointStart, unanswered: readonly ResetRequest[]): void {
    const partEnds = [false, true].flatMap(wasIsolated => {
      const requests = unanswered.filter(request => request.wasIsolated === wasIsolated)
      const parts = [...new Set(requests.flatMap(request => request.parts ?? []))]
      return parts.length === 0 ? [] : [{ start, parts, wasIsolated, ageMilliseconds: 0 }]
    })
    if (partEnds.length === 0) return
    this.parts.broadcast({ marks: [], cleared: [], partEnds })
    for (const crash of partEnds)
      this.announceRefused(this.crashingParts.noteCrash(crash, this.now))
  }

  /** An endpoint began to answer a request with these parts, which clears them. */
  noteAnswered(keys: readonly PromptPartKey[]): void {
    const wasRefused = keys.filter(key => this.crashingParts.isRefused(key))
    const soundParts = this.crashingParts.noteAnswered(keys)
    if (soundParts.length > 0) this.parts.broadcast({ marks: [], cleared: [], soundParts })
    for (const part of wasRefused) this.parts.onPromptPartVerdict(part, false)
  }

  /** A request with these parts is sent. If it is the trial of a refused part, the trial is announced. */
  noteSent(keys: readonly PromptPartKey[]): void {
    const triedParts = this.crashingParts.noteTrial(keys, this.now)
    if (triedParts.length > 0) this.parts.broadcast({ marks: [], cleared: [], triedParts })
  }

  /**
   * Refused parts and the crashes that involve them, for an instance that joined after their announcement.
   */
  get gossipSnapshot(): Pick<CrashGossip, 'partEnds' | 'deadlyParts'> {
    const { refusedParts } = this.crashingParts
    const refused = new Set(refusedParts)
    const crashes = this.crashingParts.evidence(this.now)
    const partEnds = crashes.filter(({ parts }) => parts.some(part => refused.has(part)))
    return { partEnds, deadlyParts: refusedParts }
  }

  /** Applies gossip from other instances. */
  applyGossip({
    partEnds = [],
    deadlyParts = [],
    soundParts = [],
    triedParts = [],
  }: CrashGossip): void {
    for (const crash of partEnds)
      this.announceRefused(this.crashingParts.noteCrash(crash, this.now))
    for (const part of deadlyParts) this.markRefused(part)
    this.crashingParts.noteTrial(triedParts, this.now)
    this.forget(soundParts)
  }

  /** A stored record says that a part is refused because of crashes of these starts. */
  applyRecord(part: PromptPartKey, starts: readonly EndpointStart[]): void {
    for (const start of starts) {
      const crash = { start, parts: [part], wasIsolated: true, ageMilliseconds: 0 }
      this.crashingParts.noteCrash(crash, this.now)
    }
    this.markRefused(part)
  }

  /** Clears all evidence against these parts. */
  forget(parts: readonly PromptPartKey[]): void {
    const wasRefused = parts.filter(part => this.crashingParts.isRefused(part))
    this.crashingParts.clear(parts)
    for (const part of wasRefused) this.parts.onPromptPartVerdict(part, false)
  }

  private markRefused(part: PromptPartKey): void {
    if (this.crashingParts.isRefused(part)) return
    this.crashingParts.noteRefused(part, this.now)
    this.parts.onPromptPartVerdict(part, true)
  }

  /**
   * Announces parts that this instance refuses from now on, so that instances that see few of these crashes
   * need not collect the evidence themselves.
   */
  private announceRefused(deadlyParts: readonly PromptPartKey[]): void {
    if (deadlyParts.length === 0) return
    this.parts.broadcast({ marks: [], cleared: [], deadlyParts })
    for (const part of deadlyParts) this.parts.onPromptPartVerdict(part, true)
  }

  private get now(): number {
    return this.parts.clock.monotonic()
  }
}
