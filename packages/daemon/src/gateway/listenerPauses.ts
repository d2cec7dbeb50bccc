/**
 * Briefly closes the listener for callers while this instance is overloaded, so that new connections go to other
 * instances, and broadcasts the overload to the other instances. Owns the timer and the time of the last broadcast;
 * decisions/admitting/listenerPause decides when and for how long to pause.
 */

import { ListenerPause, listenerOpenMilliseconds } from '@rackwalk/decisions'
import type { PeerOverload } from '@rackwalk/decisions'
import type { Clock, Milliseconds, RandomSource, Timer } from '@rackwalk/shared'
import type { PausableListener } from './pausableListener.js'
import { OVERLOAD_GOSSIP_MILLISECONDS } from './loadExchange.js'

/** What the pauses need. */
export interface ListenerPausesParts {
  readonly clock: Clock
  readonly random: RandomSource
  readonly listener: PausableListener
  /** Share of recent requests that this instance refused for reasons of its own. */
  readonly refusedShare: () => number
  readonly others: () => PeerOverload
  /** Whether this instance is ready for callers; without that, the listener is not paused. */
  readonly isServing: () => boolean
  /** Broadcasts that this instance is overloaded. */
  readonly gossipOverload: () => void
  readonly onPause: () => void
  /** The instance began or stopped pausing; between two pauses it counts as pausing while another pause may follow. */
  readonly onChange: (isPausing: boolean, refusedShare: number, others: PeerOverload) => void
  readonly onFault: (error: unknown) => void
}

/** Controls the pauses of one instance's listener. */
export class ListenerPauses {
  private readonly rule = new ListenerPause()
  private timer: Timer | undefined
  private overloadSentAt: Milliseconds = Number.NEGATIVE_INFINITY
  private isPausing = false
  private isStopped = false

  constructor(private readonly parts: ListenerPausesParts) {}

  /** Leaves the listener open for a random time and then decides whether to pause it. */
  start(): void {
    if (this.isStopped) return
    const { clock, random } = this.parts
    this.timer = clock.after(listenerOpenMilliseconds(random.next()), () => this.evaluate())
  }

  /** Cancels the timer; a listener that is paused stays so. */
  stop(): void {
    this.isStopped = true
    this.timer?.cancel()
  }

  private evaluate(): void {
    const { clock, random, refusedShare, isServing } = this.parts
    const now = clock.monotonic()
    const share = refusedShare()
    this.rule.noteRefusedShare(share, now)
    this.gossipOverloadIfDue(now)
    const others = this.parts.others()
    const pause = isServing() ? this.rule.pauseMilliseconds(others, now, random.next()) : 0
    const isPausing = pause > 0 || (this.isPausing && this.rule.mayPause(others, now))
    if (isPausing !== this.isPausing) this.parts.onChange(isPausing, share, others)
    this.isPausing = isPausing
    if (pause > 0) this.pause(pause)
    else this.start()
  }

  private gossipOverloadIfDue(now: Milliseconds): void {
    if (!this.rule.isOverloaded(now) || now - this.overloadSentAt < OVERLOAD_GOSSIP_MILLISECONDS)
      return
    this.overloadSentAt = now
    this.parts.gossipOverload()
  }

  private pause(milliseconds: Milliseconds): void {
    const { clock, listener, onPause, onFault } = this.parts
    onPause()
    listener.pause()
    this.timer = clock.after(milliseconds, () => {
      listener
        .resume()
        .then(() => this.start())
        .catch(onFault)
    })
  }
}
