/**
 * How many requests per second can this instance take? Computed from the processor share and the link in its
 * settings.
 */

import type { GatewaySettings } from './gatewaySettings.js'

/** Leaves half of a core free. */
const REQUESTS_PER_CORE = 150
/** A prompt in and out and events in and out, including headers. */
const BYTES_PER_REQUEST = 50_000
/** Share of the link that requests may use; the rest is for bursts and for the store. */
const LINK_SHARE = 0.4
const BYTES_PER_MEGABIT = 125_000

/** Bytes per second that the link carries in one direction. */
export function linkBytesPerSecond({ linkMegabits }: { readonly linkMegabits: number }): number {
  return linkMegabits * BYTES_PER_MEGABIT
}

/** Requests per second; at least 1. */
export function capacityOf(machine: GatewaySettings['instance']['capacity']): number {
  const byProcessor = machine.processorShare * machine.processorSpeed * REQUESTS_PER_CORE
  const byLink = (linkBytesPerSecond(machine) * LINK_SHARE) / BYTES_PER_REQUEST
  return Math.max(1, Math.min(byProcessor, byLink))
}
