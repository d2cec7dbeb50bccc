/**
 * Parses the addresses in settings, and listens at them; a failure is a numbered error.
 */

import type { Server } from 'node:http'
import { RackwalkError, ResultCode } from '@rackwalk/shared'

/** Splits `IP:PORT`; an IPv6 address is in brackets. */
export function parseAddress(address: string): { readonly host: string; readonly port: number } {
  const colon = address.lastIndexOf(':')
  const host = address.slice(0, colon).replace(/^\[|\]$/g, '')
  return { host, port: Number(address.slice(colon + 1)) }
}

/** Replaces the port of an address, once the system has chosen it. */
export function withPort(address: string, port: number): string {
  return `${address.slice(0, address.lastIndexOf(':'))}:${port}`
}

/** Listens and resolves with the port; rejects with `CannotListen`. */
export function listenOn(server: Server, address: string): Promise<number> {
  const { host, port } = parseAddress(address)
  return new Promise((resolve, reject) => {
    const fail = (error: Error) => reject(cannotListen(address, error))
    server.once('error', fail)
    server.listen(port, host, () => {
      server.off('error', fail)
      const bound = server.address()
      resolve(typeof bound === 'object' && bound !== null ? bound.port : port)
    })
  })
}

/** The numbered error of an address that could not be bound. */
export function cannotListen(address: string, error: NodeJS.ErrnoException): RackwalkError {
  const detail = `${address}: ${error.code ?? error.message}`
  return new RackwalkError(ResultCode.CannotListen, detail, error)
}
