/**
 * Streams changes of resources to one watcher. Owns the watcher's position; a watcher that reads too slowly is
 * disconnected and may reconnect with that position.
 */

import type { ServerResponse } from 'node:http'
import { RackwalkError, ResultCode } from '@rackwalk/shared'
import type { Clock, Timer, Version } from '@rackwalk/shared'
import type { ConfigurationChange, ConfigurationFollower } from '@rackwalk/coordination'

/** Time between bookmarks while nothing changes. */
const BOOKMARK_MILLISECONDS = 5_000
/** Bytes that a slow watcher may leave unread before it is disconnected. */
const MAXIMUM_UNREAD_BYTES = 4 * 1024 * 1024

/**
 * Sends every change after a revision, in order and once each, as JSON lines. Bookmarks carry the last revision seen,
 * so that a watcher that reconnects continues from there.
 */
export class WatchStream {
  private sent: Version
  private timer: Timer | undefined
  private readonly unsubscribe: () => void

  constructor(
    private readonly response: ServerResponse,
    private readonly configuration: ConfigurationFollower,
    private readonly clock: Clock,
    private readonly kinds: ReadonlySet<string>,
    from: Version,
  ) {
    if (configuration.changesSince(from) === undefined) {
      throw new RackwalkError(ResultCode.VersionTooOld, `oldest is after ${from}`)
    }
    this.sent = from
    response.writeHead(200, { 'content-type': 'application/x-ndjson' })
    this.unsubscribe = configuration.subscribe(() => this.catchUp())
    response.once('close', () => this.end())
    this.catchUp()
    this.bookmark()
  }

  private catchUp(): void {
    const changes = this.configuration.changesSince(this.sent)
    // A snapshot replaced changes that this watcher has not seen.
    if (changes === undefined) return this.fail()
    for (const change of changes) this.send(change)
    if (this.response.writableLength > MAXIMUM_UNREAD_BYTES) this.response.destroy()
  }

  private send(change: ConfigurationChange): void {
    this.sent = change.revision
    if (!this.kinds.has(change.kind)) return
    const type = change.resource === undefined ? 'deleted' : 'changed'
    this.response.write(`${JSON.stringify({ type, ...change })}\n`)
  }

  private bookmark(): void {
    this.response.write(`${JSON.stringify({ type: 'bookmark', revision: this.sent })}\n`)
    this.timer = this.clock.after(BOOKMARK_MILLISECONDS, () => this.bookmark())
  }

  private fail(): void {
    const code = ResultCode.VersionTooOld
    this.response.end(`${JSON.stringify({ type: 'error', code, revision: this.sent })}\n`)
    this.end()
  }

  private end(): void {
    this.timer?.cancel()
    this.unsubscribe()
  }
}
