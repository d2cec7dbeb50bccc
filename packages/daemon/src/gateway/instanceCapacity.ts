/**
 * How many requests a second can this instance take? From its processor share and link, as its settings
 * name them.
 */

import type { GatewaySettings } from './gatewaySettings.js'

/** Leaves half of a core free. */
const REQUESTS_PER_CORE = 150
/** Prompt in and out, events in and out, with heads. */
const BYTES_PER_REQUEST = 50_000
/** Part of a link that requests may take; the rest is for bursts and for the store. */
const LINK_SHARE = 0.4
const BYTES_PER_MEGABIT = 125_000

/** Bytes a second that the link takes in one direction. */
export function linkBytesPerSecond({ linkMegabits }: { readonly linkMegabits: number }): number {
  return linkMegabits * BYTES_PER_MEGABIT
}

/** Requests a second; at least 1. */
export function capacityOf(machine: GatewaySettings['instance']['capacity']): number {
  const byProcessor = machine.processorShare * machine.processorSpeed * REQUESTS_PER_CORE
  const byLink = (linkBytesPerSecond(machine) * LINK_SHARE) / BYTES_PER_REQUEST
  return Math.max(1, Math.min(byProcessor, byLink))
}
