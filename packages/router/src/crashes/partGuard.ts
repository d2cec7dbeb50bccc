/**
 * Keeps requests from endpoints that hold a part of a prompt under which endpoints ended. Owns what this instance believes of
 * parts; the rule is in decisions/retrying/deadlyParts. Others are told by whoever made the guard.
 */

import { DeadlyParts } from '@rackwalk/decisions'
import type { CrashNews, CrashVerdict } from '@rackwalk/decisions'
import type { Clock, EndpointStart, PromptPartKey } from '@rackwalk/shared'
import type { BrokenRequest } from './endpointEnds.js'
import { promptPartKeys } from './promptPartKey.js'

/** What the guard works with. */
export interface PartGuardParts {
  readonly clock: Clock
  /** For all other instances. */
  readonly onNews: (news: CrashNews) => void
  /** A part is refused from now on, or is no longer. */
  readonly onPart: (part: PromptPartKey, isRefused: boolean) => void
}

/** A prompt, as far as its parts are concerned. */
export interface PartedPrompt {
  readonly service: string
  readonly promptParts: readonly { readonly id: string }[]
}

const NO_KEYS: readonly PromptPartKey[] = []

/** What one instance knows of parts of prompts that end endpoints. */
export class PartGuard {
  private readonly deadly = new DeadlyParts()

  constructor(private readonly parts: PartGuardParts) {}

  /** Keys of the parts of a prompt, where anything is held against any part. */
  keysOf(prompt: PartedPrompt): readonly PromptPartKey[] {
    if (this.deadly.isEmpty) return NO_KEYS
    return promptPartKeys(prompt.service, prompt.promptParts)
  }

  /** What to do with a request that holds these parts. */
  verdict(keys: readonly PromptPartKey[]): CrashVerdict {
    return keys.length === 0 ? 'send' : this.deadly.verdict(keys, this.now)
  }

  /** The part by whose hash an isolated request finds its endpoint; undefined where none is suspected. */
  isolatedBy(keys: readonly PromptPartKey[]): PromptPartKey | undefined {
    return this.deadly.isolatedBy(keys)
  }

  /** Parts that are refused. */
  get refusedCount(): number {
    return this.deadly.deadly.length
  }

  /** Whether a part is refused. */
  isRefused(part: PromptPartKey): boolean {
    return this.deadly.isDeadly(part)
  }

  /** Ends that are held against a part. */
  startsOf(part: PromptPartKey): readonly EndpointStart[] {
    return this.deadly.startsOf(part)
  }

  /** An endpoint ended while these requests were there without an answer. */
  noteEnd(start: EndpointStart, unanswered: readonly BrokenRequest[]): void {
    const partEnds = [false, true].flatMap(wasIsolated => {
      const requests = unanswered.filter(request => request.wasIsolated === wasIsolated)
      const parts = [...new Set(requests.flatMap(request => request.parts ?? []))]
      return parts.length === 0 ? [] : [{ start, parts, wasIsolated, ageMilliseconds: 0 }]
    })
    if (partEnds.length === 0) return
    this.parts.onNews({ marks: [], cleared: [], partEnds })
    for (const end of partEnds) this.refuse(this.deadly.noteEnd(end, this.now))
  }

  /** An answer began to a request with these parts. */
  noteAnswered(keys: readonly PromptPartKey[]): void {
    const wasRefused = keys.filter(key => this.deadly.isDeadly(key))
    const soundParts = this.deadly.noteAnswered(keys)
    if (soundParts.length > 0) this.parts.onNews({ marks: [], cleared: [], soundParts })
    for (const part of wasRefused) this.parts.onPart(part, false)
  }

  /** A request with these parts is sent: where one of them is refused, that is its trial. */
  noteSent(keys: readonly PromptPartKey[]): void {
    const triedParts = this.deadly.noteTrial(keys, this.now)
    if (triedParts.length > 0) this.parts.onNews({ marks: [], cleared: [], triedParts })
  }

  /** What holds, for an instance that was not there when it was told. */
  get standingNews(): Pick<CrashNews, 'partEnds' | 'deadlyParts'> {
    const { deadly } = this.deadly
    const refused = new Set(deadly)
    const ends = this.deadly.evidence(this.now)
    const partEnds = ends.filter(({ parts }) => parts.some(part => refused.has(part)))
    return { partEnds, deadlyParts: deadly }
  }

  /** Takes in what others found out. */
  observe({ partEnds = [], deadlyParts = [], soundParts = [], triedParts = [] }: CrashNews): void {
    for (const end of partEnds) this.refuse(this.deadly.noteEnd(end, this.now))
    for (const part of deadlyParts) this.takeDeadly(part)
    this.deadly.noteTrial(triedParts, this.now)
    this.forget(soundParts)
  }

  /** A record says that a part is refused for these ends. */
  observeRecord(part: PromptPartKey, starts: readonly EndpointStart[]): void {
    for (const start of starts) {
      const end = { start, parts: [part], wasIsolated: true, ageMilliseconds: 0 }
      this.deadly.noteEnd(end, this.now)
    }
    this.takeDeadly(part)
  }

  /** Nothing is held against these parts any more. */
  forget(parts: readonly PromptPartKey[]): void {
    const wasRefused = parts.filter(part => this.deadly.isDeadly(part))
    this.deadly.clear(parts)
    for (const part of wasRefused) this.parts.onPart(part, false)
  }

  private takeDeadly(part: PromptPartKey): void {
    if (this.deadly.isDeadly(part)) return
    this.deadly.noteDeadly(part, this.now)
    this.parts.onPart(part, true)
  }

  /** What this instance has found deadly is told, so that those that see little of it need not find out. */
  private refuse(deadlyParts: readonly PromptPartKey[]): void {
    if (deadlyParts.length === 0) return
    this.parts.onNews({ marks: [], cleared: [], deadlyParts })
    for (const part of deadlyParts) this.parts.onPart(part, true)
  }

  private get now(): number {
    return this.parts.clock.monotonic()
  }
}
