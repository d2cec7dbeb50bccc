/** The platform's object store; errors are those of the table service. */
export interface ObjectStore {
  put(key: string, body: Buffer): Promise<void>
  get(key: string): Promise<Buffer | undefined>
  /** Keys with a prefix in order, at most `limit`, after `after`. */
  list(prefix: string, limit: number, after?: string): Promise<readonly string[]>
}
