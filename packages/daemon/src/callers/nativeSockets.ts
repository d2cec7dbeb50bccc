/**
 * Calls into the system's C library for which Node.js has no function. The calls are made through a native library,
 * which may be missing and which only this module knows. The native library is loaded on first use, so that a process
 * that never makes these calls spends neither time nor memory on it.
 */

import { createRequire } from 'node:module'

/** Calls on the descriptor of a listener. As in Node.js, an error is returned as its negative number. */
export interface NativeSockets {
  /** Accepts one queued connection and returns its descriptor. */
  readonly accept: (listener: number) => number
  /** Limits how many connections may be queued from now on; those already queued stay. */
  readonly limitBacklog: (listener: number, length: number) => number
}

/** The native calls are not available on this system. */
export class NativeSocketsMissing extends Error {
  override readonly name = 'NativeSocketsMissing'
}

/** The functions of the native library that this module uses. */
interface ForeignFunctions {
  readonly load: (path: null) => {
    readonly func: (declaration: string) => (...values: readonly (number | null)[]) => number
  }
  readonly errno: () => number
}

/**
 * Descriptor flags that Node.js sets on its own sockets: calls do not block, and child programs do not inherit the
 * descriptor.
 */
const NONBLOCKING = 0o4000
const CLOSE_ON_EXEC = 0o2000000

/** Loads the library and looks up the calls; throws `NativeSocketsMissing`. */
export function loadNativeSockets(): NativeSockets {
  if (process.platform !== 'linux') throw new NativeSocketsMissing(`not on ${process.platform}`)
  try {
    const library = createRequire(import.meta.url)('koffi') as ForeignFunctions
    // Looks up the symbols in the process itself, so that each call uses the same library as Node.js.
    const system = library.load(null)
    const accept = system.func('int accept4(int, void *, void *, int)')
    const listen = system.func('int listen(int, int)')
    const outcome = (result: number) => (result < 0 ? -library.errno() : result)
    const flags = NONBLOCKING | CLOSE_ON_EXEC
    return {
      accept: listener => outcome(accept(listener, null, null, flags)),
      limitBacklog: (listener, length) => outcome(listen(listener, length)),
    }
  } catch (error) {
    // The library reports a missing binary with an error that has no code.
    const [detail = ''] = (error instanceof Error ? error.message : String(error)).split('\n')
    throw new NativeSocketsMissing(detail, { cause: error })
  }
}
