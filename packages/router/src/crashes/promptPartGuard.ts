/**
 * Keeps requests from endpoints that hold a part of a prompt under which endpoints ended. Owns what this instance believes of
 * parts; the rule is in decisions/retrying/deadlyParts. Others are told by whoever made the guard.
 */

import { PromptPartQuarantine } from '@rackwalk/decisions'
import type { CrashGossip, QuarantineVerdict } from '@rackwalk/decisions'
import type { Clock, EndpointStart, PromptPartKey } from '@rackwalk/shared'
import type { ResetRequest } from './endpointCrashDetector.js'
import { promptPartKeys } from './promptPartKey.js'

/** What the guard works with. */
export interface PromptPartGuardParts {
  readonly clock: Clock
  /** For all other instances. */
  readonly broadcast: (news: CrashGossip) => void
  /** A part is refused from now on, or is no longer. */
  readonly onPromptPartVerdict: (part: PromptPartKey, isRefused: boolean) => void
}

/** A prompt, as far as its parts are concerned. */
export interface ServicePrompt {
  readonly service: string
  readonly promptParts: readonly { readonly id: string }[]
}

const NO_KEYS: readonly PromptPartKey[] = []

/** What one instance knows of parts of prompts that end endpoints. */
export class PromptPartGuard {
  private readonly crashingParts = new PromptPartQuarantine()

  constructor(private readonly parts: PromptPartGuardParts) {}

  /** Keys of the parts of a prompt, where anything is held against any part. */
  keysOf(prompt: ServicePrompt): readonly PromptPartKey[] {
    if (this.crashingParts.isEmpty) return NO_KEYS
    return promptPartKeys(prompt.service, prompt.promptParts)
  }

  /** What to do with a request that holds these parts. */
  verdict(keys: readonly PromptPartKey[]): QuarantineVerdict {
    return keys.length === 0 ? 'send' : this.crashingParts.verdict(keys, this.now)
  }

  /** The part by whose hash an isolated request finds its endpoint; undefined where none is suspected. */
  isolationKey(keys: readonly PromptPartKey[]): PromptPartKey | undefined {
    return this.crashingParts.isolatingPart(keys)
  }

  /** Parts that are refused. */
  get refusedCount(): number {
    return this.crashingParts.refusedParts.length
  }

  /** Whether a part is refused. */
  isRefused(part: PromptPartKey): boolean {
    return this.crashingParts.isRefused(part)
  }

  /** Ends that are held against a part. */
  startsOf(part: PromptPartKey): readonly EndpointStart[] {
    return this.crashingParts.crashedStartsOf(part)
  }

  /** An endpoint ended while these requests were there without an answer. */
  noteEnd(start: EndpointStart, unanswered: readonly ResetRequest[]): void {
    const partEnds = [false, true].flatMap(wasIsolated => {
      const requests = unanswered.filter(request => request.wasIsolated === wasIsolated)
      const parts = [...new Set(requests.flatMap(request => request.parts ?? []))]
      return parts.length === 0 ? [] : [{ start, parts, wasIsolated, ageMilliseconds: 0 }]
    })
    if (partEnds.length === 0) return
    this.parts.broadcast({ marks: [], cleared: [], partEnds })
    for (const end of partEnds) this.announceRefused(this.crashingParts.noteCrash(end, this.now))
  }

  /** An answer began to a request with these parts. */
  noteAnswered(keys: readonly PromptPartKey[]): void {
    const wasRefused = keys.filter(key => this.crashingParts.isRefused(key))
    const soundParts = this.crashingParts.noteAnswered(keys)
    if (soundParts.length > 0) this.parts.broadcast({ marks: [], cleared: [], soundParts })
    for (const part of wasRefused) this.parts.onPromptPartVerdict(part, false)
  }

  /** A request with these parts is sent: where one of them is refused, that is its trial. */
  noteSent(keys: readonly PromptPartKey[]): void {
    const triedParts = this.crashingParts.noteTrial(keys, this.now)
    if (triedParts.length > 0) this.parts.broadcast({ marks: [], cleared: [], triedParts })
  }

  /** What holds, for an instance that was not there when it was told. */
  get newsSnapshot(): Pick<CrashGossip, 'partEnds' | 'deadlyParts'> {
    const { refusedParts } = this.crashingParts
    const refused = new Set(refusedParts)
    const ends = this.crashingParts.evidence(this.now)
    const partEnds = ends.filter(({ parts }) => parts.some(part => refused.has(part)))
    return { partEnds, deadlyParts: refusedParts }
  }

  /** Takes in what others found out. */
  applyNews({
    partEnds = [],
    deadlyParts = [],
    soundParts = [],
    triedParts = [],
  }: CrashGossip): void {
    for (const end of partEnds) this.announceRefused(this.crashingParts.noteCrash(end, this.now))
    for (const part of deadlyParts) this.markRefused(part)
    this.crashingParts.noteTrial(triedParts, this.now)
    this.forget(soundParts)
  }

  /** A record says that a part is refused for these ends. */
  applyRecord(part: PromptPartKey, starts: readonly EndpointStart[]): void {
    for (const start of starts) {
      const end = { start, parts: [part], wasIsolated: true, ageMilliseconds: 0 }
      this.crashingParts.noteCrash(end, this.now)
    }
    this.markRefused(part)
  }

  /** Nothing is held against these parts any more. */
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

  /** What this instance has found deadly is told, so that those that see little of it need not find out. */
  private announceRefused(deadlyParts: readonly PromptPartKey[]): void {
    if (deadlyParts.length === 0) return
    this.parts.broadcast({ marks: [], cleared: [], deadlyParts })
    for (const part of deadlyParts) this.parts.onPromptPartVerdict(part, true)
  }

  private get now(): number {
    return this.parts.clock.monotonic()
  }
}
