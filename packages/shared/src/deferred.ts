/** A promise and the functions that settle it. */
export interface Deferred<Value> {
  readonly promise: Promise<Value>
  resolve(value: Value): void
  reject(error: Error): void
}

/**
 * Returns a promise and the functions that settle it, in the same way as `Promise.withResolvers`,
 * which Node.js 20 lacks.
 */
export function deferred<Value>(): Deferred<Value> {
  let resolve: (value: Value) => void = () => {}
  let reject: (error: Error) => void = () => {}
  const promise = new Promise<Value>((onValue, onError) => {
    resolve = onValue
    reject = onError
  })
  return { promise, resolve, reject }
}
