/** Interface of the platform's object store. Operations throw the same errors as `TableService`. */
export interface ObjectStore {
  put(key: string, body: Buffer): Promise<void>
  /** Returns the content of an object; undefined if the object does not exist. */
  get(key: string): Promise<Buffer | undefined>
  /** Returns at most `limit` keys with a prefix, in order, after the key `after`. */
  list(prefix: string, limit: number, after?: string): Promise<readonly string[]>
}
