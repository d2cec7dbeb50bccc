/** The platform's list of instances, read from the object store on every call. */

import type { InstanceList, ListedInstance } from './instanceList.js'
import { INSTANCE_LIST_KEY, parseInstanceList } from './instanceListFormat.js'
import type { ObjectStore } from './objectStore.js'

/**
 * Reads the instance list that the platform publishes as one object. If the object does not exist,
 * the list is empty.
 */
export class ObjectStoreInstanceList implements InstanceList {
  constructor(private readonly objects: ObjectStore) {}

  async list(): Promise<readonly ListedInstance[]> {
    const body = await this.objects.get(INSTANCE_LIST_KEY)
    return body === undefined ? [] : parseInstanceList(body)
  }
}
