/**
 * Settings of an instance that serves generic routes on a platform with its own protocol: names, bounds, defaults and
 * descriptions. docs/settings.md is generated from this schema.
 */

import * as z from 'zod'
import { bodyMemoryMegabytes } from '../settings/bodyMemorySetting.js'
import { nameSchema } from '@rackwalk/router'

const ADDRESS_PATTERN = /^[0-9.]+:\d{1,5}$/

const address = z.string().regex(ADDRESS_PATTERN, 'IP:PORT').describe('IP address and port')
const milliseconds = z.number().positive()
const seconds = z.number().positive()

export const gatewaySettingsSchema = z.strictObject({
  kind: z.literal('gateway').describe('Chooses this kind of instance'),
  adapter: z.string().min(1).describe('Module that translates the protocol of the platform'),
  instance: z
    .strictObject({
      id: nameSchema.describe('Name of this instance, the same after a restart'),
      region: nameSchema.describe('Region it runs in'),
      failureDomain: nameSchema.describe('Failure domain it runs in'),
      capacity: z
        .strictObject({
          processorShare: z.number().positive().default(1).describe('Part of a core'),
          processorSpeed: z.number().positive().default(1).describe('Times a usual core'),
          linkMegabits: z.number().positive().default(1_000).describe('Bits of its link a second'),
        })
        .prefault({})
        .describe('What its machine bears'),
    })
    .describe('Who this instance is'),
  listen: z
    .strictObject({
      callers: address.describe('Callers connect here'),
      readiness: address.describe('The platform asks here whether the instance is ready'),
      directory: address.optional().describe('Callers ask here which addresses to use'),
      peers: address.optional().describe('Other instances ask here'),
      loads: address.optional().describe('Datagrams of other instances about their load'),
      metrics: address.describe('Metrics as text'),
    })
    .describe('Addresses of the listeners'),
  seeds: z.array(address).default([]).describe('Peers asked while the store cannot be reached'),
  store: z
    .strictObject({
      address,
      writesPerSecond: z
        .number()
        .positive()
        .default(300)
        .describe('Writes that all instances may make'),
      partitionWritesPerSecond: z
        .number()
        .positive()
        .default(100)
        .describe('Writes that one partition takes'),
      timeoutMilliseconds: milliseconds.default(1_000).describe('Wait for an answer'),
    })
    .describe("The platform's store of rows"),
  requests: z
    .strictObject({
      connectMilliseconds: milliseconds.default(150).describe('Wait for a connection to a server'),
      defaultDeadlineMilliseconds: milliseconds
        .default(60_000)
        .describe('For callers that name none'),
      longestRestMilliseconds: milliseconds
        .default(60_000)
        .describe('A server that asks for rest is left alone for no longer'),
    })
    .prefault({})
    .describe('Bounds on one request'),
  limits: z
    .strictObject({
      bodyMemoryMegabytes,
      connections: z
        .number()
        .int()
        .positive()
        .default(3_000)
        .describe('Connections of callers; further ones are closed'),
    })
    .prefault({})
    .describe('Bounds that protect the instance from its callers'),
  retries: z
    .strictObject({
      ratio: z
        .number()
        .nonnegative()
        .default(0.1)
        .describe('Retries for each request to a service'),
      extra: z
        .number()
        .nonnegative()
        .default(0)
        .describe('Retries beyond that, for the whole fleet'),
      windowSeconds: seconds.default(10).describe('Length of the window in which both are counted'),
    })
    .prefault({})
    .describe('Bounds on requests sent to a second server'),
  membership: z
    .strictObject({
      heartbeatMilliseconds: milliseconds.default(1_000).describe('Time between two heartbeats'),
      silenceMilliseconds: milliseconds.default(3_500).describe('Then an instance counts as gone'),
      activeInDomain: z
        .number()
        .int()
        .positive()
        .default(2)
        .describe('Instances of a failure domain that take callers, at least'),
      headroom: z
        .number()
        .min(1)
        .default(2)
        .describe('Instances that take callers bear this many times the load'),
      addressSeconds: seconds.default(1).describe('How long callers keep an answer'),
    })
    .prefault({})
    .describe('How instances know of each other'),
  freshness: z
    .strictObject({
      configurationMilliseconds: milliseconds
        .default(3_000)
        .describe('Time after which a change of the configuration is in force'),
      endpointsMilliseconds: milliseconds
        .default(3_000)
        .describe('Time after which nothing is sent to a server that is leaving'),
    })
    .prefault({})
    .describe('How old what an instance serves by may be'),
  budgets: z
    .strictObject({
      policy: z.enum(['demand', 'equal']).default('demand').describe('How holdings are sized'),
      reserveShare: z
        .number()
        .min(0)
        .max(0.5)
        .default(0.002)
        .describe('Part of a prepaid limit that is never handed out'),
    })
    .prefault({})
    .describe('Prepaid budgets'),
  shutdown: z
    .strictObject({ graceSeconds: seconds.default(8).describe('Time from SIGTERM to the end') })
    .prefault({})
    .describe('How the instance stops'),
  log: z
    .strictObject({
      level: z.enum(['silent', 'warn', 'info', 'debug']).default('info'),
      linesPerSecond: z.number().positive().default(200).describe('More are counted and dropped'),
    })
    .prefault({})
    .describe('What is logged'),
})

/** Validated settings, with defaults filled in. */
export type GatewaySettings = z.infer<typeof gatewaySettingsSchema>
