/**
 * Calls of the system's C library for which Node.js has no function. Alone knows the library that makes them, which may be
 * missing; it is loaded when it is first asked for, so that a process that never asks pays neither time nor memory.
 */

import { createRequire } from 'node:module'

/** Calls on the descriptor of a listener. Like those of Node.js, they give an error as its negative number. */
export interface NativeSockets {
  /** Takes one connection that waits and gives its descriptor. */
  readonly accept: (listener: number) => number
  /** Bounds how many connections may wait from now on; those that do stay. */
  readonly limitBacklog: (listener: number, length: number) => number
}

/** The calls can't be made here. */
export class NativeSocketsMissing extends Error {
  override readonly name = 'NativeSocketsMissing'
}

/** What is used of the library. */
interface ForeignFunctions {
  readonly load: (path: null) => {
    readonly func: (declaration: string) => (...values: readonly (number | null)[]) => number
  }
  readonly errno: () => number
}

/** Flags of a descriptor as Node.js makes its own: no call on it waits, and no other program inherits it. */
const NONBLOCKING = 0o4000
const CLOSED_AT_EXECUTION = 0o2000000

/** Loads the library and finds the calls; fails with `NativeSocketsMissing`. */
export function loadNativeSockets(): NativeSockets {
  if (process.platform !== 'linux') throw new NativeSocketsMissing(`not on ${process.platform}`)
  try {
    const library = createRequire(import.meta.url)('koffi') as ForeignFunctions
    // The process's own symbols, so that each call goes where those of Node.js itself go.
    const system = library.load(null)
    const accept = system.func('int accept4(int, void *, void *, int)')
    const listen = system.func('int listen(int, int)')
    const outcome = (result: number) => (result < 0 ? -library.errno() : result)
    const flags = NONBLOCKING | CLOSED_AT_EXECUTION
    return {
      accept: listener => outcome(accept(listener, null, null, flags)),
      limitBacklog: (listener, length) => outcome(listen(listener, length)),
    }
  } catch (error) {
    // The library says that its binary is missing by an error without a code.
    const [detail = ''] = (error instanceof Error ? error.message : String(error)).split('\n')
    throw new NativeSocketsMissing(detail, { cause: error })
  }
}
