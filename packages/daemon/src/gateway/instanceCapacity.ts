/**
 * Computes how many requests per second an instance can take: the smaller of what its processor share and what its link
 * allow, both from its settings.
 */

import type { GatewaySettings } from './gatewaySettings.js'

/** Requests per second that a core of speed 1 takes while half of the core stays free. */
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

/** Returns the requests per second that an instance can take; at least 1. */
export function capacityOf(machine: GatewaySettings['instance']['capacity']): number {
  const byProcessor = machine.processorShare * machine.processorSpeed * REQUESTS_PER_CORE
  const byLink = (linkBytesPerSecond(machine) * LINK_SHARE) / BYTES_PER_REQUEST
  return Math.max(1, Math.min(byProcessor, byLink))
}
