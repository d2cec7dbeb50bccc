/**
 * Caches at which service and software version streams began (their origins), for as long as their callers
 * may resume them. Owns the entries and when each one expires.
 */

import { isSameOrigin } from '@rackwalk/decisions'
import type { StreamOrigin } from '@rackwalk/decisions'
import type { Clock, Milliseconds, StreamKey } from '@rackwalk/shared'

/** The entry of a stream that has begun. */
export interface StartedStream {
  readonly key: StreamKey
  readonly origin: StreamOrigin
  /** Time for which the caller may resume the stream. */
  readonly lifetimeMilliseconds: Milliseconds
}

interface Entry {
  /** More than one only if instances reported different origins. */
  readonly origins: readonly StreamOrigin[]
  /** Monotonic time. */
  readonly expiresAt: Milliseconds
  /** Whether this instance served the stream. */
  readonly isLocal: boolean
}

/** Maximum number of remembered streams, so that callers who begin many can't exhaust the memory. */
const MAXIMUM_STREAMS = 16_384

/** Stream origins known to one instance. */
export class StreamOriginCache {
  /** Ordered by the time of their newest report, the oldest first. */
  private readonly entries = new Map<StreamKey, Entry>()

  constructor(private readonly clock: Clock) {}

  get size(): number {
    return this.entries.size
  }

  /**
   * Remembers a stream. If different origins are reported for it, all are kept, since this instance can't
   * know which one is right. `isLocal`: whether this instance served the stream.
   */
  note({ key, origin, lifetimeMilliseconds }: StartedStream, isLocal: boolean): void {
    const known = this.unexpired(key)
    const origins = known?.origins ?? []
    const isKnown = origins.some(other => isSameOrigin(other, origin))
    const expiresAt = this.clock.monotonic() + lifetimeMilliseconds
    this.entries.delete(key)
    this.entries.set(key, {
      origins: isKnown ? origins : [...origins, origin],
      expiresAt: Math.max(expiresAt, known?.expiresAt ?? 0),
      isLocal: isLocal || known?.isLocal === true,
    })
    this.forgetOldest()
  }

  /** The origins of a stream; empty if the stream is not remembered. */
  originsOf(key: StreamKey): readonly StreamOrigin[] {
    return this.unexpired(key)?.origins ?? []
  }

  /** Unexpired streams of a service that this instance served. */
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

  /**
   * Removes expired entries while they are the oldest, and the oldest entries whenever the limit is exceeded.
   */
  private forgetOldest(): void {
    const now = this.clock.monotonic()
    for (const [key, { expiresAt }] of this.entries) {
      if (expiresAt > now && this.entries.size <= MAXIMUM_STREAMS) return
      this.entries.delete(key)
    }
  }
}
