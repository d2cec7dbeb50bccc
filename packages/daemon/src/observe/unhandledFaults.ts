/** Keeps a process running after a fault that no code handles, in both kinds of instance. */

/**
 * Reports uncaught exceptions and unhandled rejections of this process to a function. Such a fault, in a listener for
 * example, concerns one request or connection; the end of the process would interrupt all others.
 */
export function reportUnhandledFaults(onFault: (error: unknown) => void): void {
  process.on('unhandledRejection', onFault)
  process.on('uncaughtException', error => onFault(error))
}
