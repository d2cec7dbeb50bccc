/** The platform's object store. Throws the same errors as the table service. */
export interface ObjectStore {
  put(key: string, body: Buffer): Promise<void>
  get(key: string): Promise<Buffer | undefined>
  /** Returns at most `limit` keys with a prefix, in order, after the key `after`. */
  list(prefix: string, limit: number, after?: string): Promise<readonly string[]>
}
