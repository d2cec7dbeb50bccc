/** Checks addresses that come from outside the process, before they are given to a socket. */

/** A host name, an IPv4 address, or an IPv6 address in brackets; then a port in decimal digits. */
const ADDRESS_PATTERN = /^(?:\[[\da-f:.]{2,45}\]|[\w.-]{1,253}):(\d{1,5})$/i
const LARGEST_PORT = 65_535

/**
 * Whether a text is HOST:PORT with a port that can be connected to. The sockets of Node.js throw
 * for any other port, also where their other failures are events.
 */
export function isSocketAddress(text: string): boolean {
  const port = Number(ADDRESS_PATTERN.exec(text)?.[1] ?? 0)
  return port > 0 && port <= LARGEST_PORT
}
