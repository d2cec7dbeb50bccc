/** Where streams began, for as long as their callers may come back. Owns the entries and when each is forgotten. */

import { isSameOrigin } from '@rackwalk/decisions'
import type { StreamOrigin } from '@rackwalk/decisions'
import type { Clock, Milliseconds, StreamKey } from '@rackwalk/shared'

/** A stream that has begun. */
export interface StartedStream {
  readonly key: StreamKey
  readonly origin: StreamOrigin
  /** Time for which its caller may come back. */
  readonly lifetimeMilliseconds: Milliseconds
}

interface Entry {
  readonly origins: readonly StreamOrigin[]
  readonly expiresAt: Milliseconds
  /** Whether this instance served the stream. */
  readonly isLocal: boolean
}

/** Streams remembered at the most, so that callers who begin many can't fill the memory. */
const REMEMBERED_STREAMS = 16_384

/** The streams that one instance remembers. */
export class StreamOriginCache {
  /** The oldest first. */
  private readonly entries = new Map<StreamKey, Entry>()

  constructor(private readonly clock: Clock) {}

  get size(): number {
    return this.entries.size
  }

  /** Remembers a stream; one that is told to have begun in two ways keeps both, since nobody can say which is true. */
  note({ key, origin, lifetimeMilliseconds }: StartedStream, isOwn: boolean): void {
    const known = this.unexpired(key)
    const origins = known?.origins ?? []
    const isKnown = origins.some(other => isSameOrigin(other, origin))
    const until = this.clock.monotonic() + lifetimeMilliseconds
    this.entries.delete(key)
    this.entries.set(key, {
      origins: isKnown ? origins : [...origins, origin],
      expiresAt: Math.max(until, known?.expiresAt ?? 0),
      isLocal: isOwn || known?.isLocal === true,
    })
    this.forgetOldest()
  }

  /** Where a stream began; empty where nothing is remembered of it. */
  originsOf(key: StreamKey): readonly StreamOrigin[] {
    return this.unexpired(key)?.origins ?? []
  }

  /** Streams of a service that this instance served. */
  servedLocally(service: string): readonly StartedStream[] {
    const now = this.clock.monotonic()
    return [...this.entries].flatMap(([key, { origins, expiresAt, isLocal }]) => {
      const [origin] = origins
      if (!isLocal || origin?.service !== service || expiresAt <= now) return []
      return [{ key, origin, lifetimeMilliseconds: expiresAt - now }]
    })
  }

  private unexpired(key: StreamKey): Entry | undefined {
    const entry = this.entries.get(key)
    if (entry === undefined || entry.expiresAt > this.clock.monotonic()) return entry
    this.entries.delete(key)
    return undefined
  }

  /** Those whose time is over go first, as far as they are the oldest; at the bound any that is the oldest. */
  private forgetOldest(): void {
    const now = this.clock.monotonic()
    for (const [key, { expiresAt }] of this.entries) {
      if (expiresAt > now && this.entries.size <= REMEMBERED_STREAMS) return
      this.entries.delete(key)
    }
  }
}
