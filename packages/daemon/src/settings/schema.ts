/**
 * The settings of one instance of the OpenAI-style kind. Configuration that operators change at run time is not part
 * of them.
 */

import * as z from 'zod'
import { bodyMemoryMegabytes } from './bodyMemorySetting.js'
import { nameSchema } from '@rackwalk/router'

const ADDRESS_PATTERN = /^(\[[0-9a-fA-F:]+\]|[0-9.]+):\d{1,5}$/
const HASH_PATTERN = /^[0-9a-f]{64}$/

const address = z.string().regex(ADDRESS_PATTERN, 'IP:PORT').describe('IP address and port')
const milliseconds = z.number().int().positive()

/** Settings name the source of a secret and never contain it: its value comes from the environment or from a file. */
const secretSource = z
  .union([z.strictObject({ environment: z.string() }), z.strictObject({ file: z.string() })])
  .describe('Where a secret is read from')

const credentials = {
  endpoint: z.url().describe('URL of the service'),
  region: z.string().default('local').describe('Region name used in signatures'),
  accessKeyId: secretSource,
  secretAccessKey: secretSource,
  timeoutMilliseconds: milliseconds.default(2_000).describe('Wait for an answer'),
}

export const settingsSchema = z.strictObject({
  instance: z
    .strictObject({
      id: nameSchema.describe('Name of this instance, the same after a restart'),
      region: nameSchema.describe('Region it runs in'),
      failureDomain: nameSchema.describe('Failure domain it runs in'),
    })
    .describe('Who this instance is'),
  listen: z
    .strictObject({
      callers: address.describe('Callers connect here'),
      operators: address.describe('Operators and metrics'),
      peers: address.describe('Other instances'),
    })
    .describe('Addresses of the listeners; port 0 takes a free one'),
  advertise: z
    .strictObject({
      callers: address.optional(),
      operators: address.optional(),
      peers: address.optional(),
    })
    .default({})
    .describe('Addresses told to others where they differ from the listeners'),
  platform: z
    .strictObject({
      table: z.strictObject({ ...credentials, name: z.string().min(1) }),
      objects: z.strictObject({ ...credentials, bucket: z.string().min(1) }),
    })
    .describe('The table service (DynamoDB API) and the object store (S3 API)'),
  peers: z
    .strictObject({
      seeds: z.array(address).default([]).describe('Asked first when the platform is down'),
      secret: secretSource.optional().describe('Shown by instances to each other'),
      timeoutMilliseconds: milliseconds.default(1_000),
    })
    .default({ seeds: [], timeoutMilliseconds: 1_000 })
    .describe('How instances reach each other'),
  operators: z
    .array(
      z.strictObject({
        name: nameSchema,
        tokenHash: z.string().regex(HASH_PATTERN, 'SHA-256 in hexadecimal'),
      }),
    )
    .min(1)
    .describe('Who may use the operator API'),
  budgetPolicy: z
    .discriminatedUnion('name', [
      z.strictObject({ name: z.literal('equal-split') }),
      z.strictObject({ name: z.literal('rate-proportional') }),
      z.strictObject({
        name: z.literal('weighed'),
        overspendWeight: z.number().nonnegative().default(1),
        falseRefusalWeight: z.number().nonnegative().default(1),
      }),
    ])
    .default({ name: 'weighed', overspendWeight: 1, falseRefusalWeight: 1 })
    .describe('How allocations of budgets are sized'),
  limits: z
    .strictObject({
      bodyBytes: z
        .number()
        .int()
        .positive()
        .default(4 * 1024 * 1024),
      headerBytes: z
        .number()
        .int()
        .positive()
        .default(16 * 1024),
      connections: z.number().int().positive().default(4_096),
      bodyMemoryMegabytes: bodyMemoryMegabytes,
      linkMegabits: z
        .number()
        .positive()
        .default(1_000)
        .describe('What the link of the instance carries, in megabits a second'),
      bodyMilliseconds: milliseconds.default(10_000),
      headerMilliseconds: milliseconds.default(5_000),
      defaultDeadlineMilliseconds: milliseconds.default(300_000),
      longestRequestMilliseconds: milliseconds.default(600_000),
      firstByteMilliseconds: milliseconds.default(30_000),
      stallMilliseconds: milliseconds.default(20_000),
      longestRestMilliseconds: milliseconds
        .default(60_000)
        .describe('An endpoint that asks for rest is left alone for no longer'),
      billMilliseconds: milliseconds.default(10_000),
      journalBacklog: z.number().int().positive().default(50_000),
      drainMilliseconds: milliseconds.default(600_000),
    })
    .prefault({})
    .describe('Bounds that protect the instance'),
  timings: z
    .strictObject({
      journalWritesPerSecond: z.number().positive().default(60),
      holdAfterMilliseconds: milliseconds.default(400),
      heartbeatMilliseconds: milliseconds.default(1_000),
      configurationMilliseconds: milliseconds.default(2_000),
      reportMilliseconds: milliseconds.default(1_000),
      listLagMilliseconds: milliseconds.default(30_000),
      claimMilliseconds: milliseconds.default(2_000),
    })
    .prefault({})
    .describe('Periods of the background work'),
  placement: z
    .strictObject({
      maximumLoads: z.number().int().positive().default(4).describe('Loads at the same time'),
      leaseMilliseconds: milliseconds.default(15_000),
    })
    .prefault({})
    .describe('How placements are carried out'),
  log: z
    .strictObject({ level: z.enum(['silent', 'warn', 'info', 'debug']).default('info') })
    .prefault({})
    .describe('What is logged'),
})

/** Validated settings, with defaults filled in. */
export type Settings = z.infer<typeof settingsSchema>
/** Where a secret is read from. */
export type SecretSource = z.infer<typeof secretSource>
