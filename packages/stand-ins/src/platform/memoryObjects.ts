/** An in-memory object store, used directly or behind a protocol stand-in. */

import type { ObjectStore } from '@rackwalk/stores'

/** Keeps objects in memory. Counts reads and writes. */
export class MemoryObjects implements ObjectStore {
  private readonly objects = new Map<string, Buffer>()
  reads = 0
  writes = 0

  async put(key: string, body: Buffer): Promise<void> {
    this.writes += 1
    this.objects.set(key, body)
  }

  async get(key: string): Promise<Buffer | undefined> {
    this.reads += 1
    return this.objects.get(key)
  }

  async list(prefix: string, limit: number, after = ''): Promise<readonly string[]> {
    this.reads += 1
    return [...this.objects.keys()]
      .filter(key => key.startsWith(prefix) && key > after)
      .sort()
      .slice(0, limit)
  }
}
