/**
 * Parses the reports of engines about themselves (`GET /load`, `GET /cache-events?after=N`). A
 * malformed report is treated as missing, so that it is never mistaken for the report of an idle
 * engine. Fields that an engine leaves out get defaults, except the numbers of running and waiting
 * requests, which are required.
 */

import * as z from 'zod'
import type { LoadReport } from '../routing/endpointView.js'
import type { CacheEvent } from '../routing/prefixIndex.js'

const loadSchema = z.looseObject({
  running: z.number().nonnegative(),
  waiting: z.number().nonnegative(),
  cacheUse: z.number().min(0).max(1).default(0),
  queuedPromptTokens: z.number().nonnegative().default(0),
  leaving: z.boolean().default(false),
  loaded: z.array(z.looseObject({ model: z.string(), version: z.string() })).optional(),
})

const cacheEventsSchema = z.looseObject({
  events: z.array(
    z.looseObject({
      sequence: z.number().int().nonnegative(),
      kind: z.enum(['stored', 'removed', 'cleared']),
      hashes: z.array(z.string()).default([]),
    }),
  ),
})

/** A model that an engine has loaded. */
interface LoadedModel {
  readonly model: string
  readonly version: string
}

/** A load report with the models that the engine has loaded. */
export interface ParsedReport {
  readonly report: LoadReport
  /** The loaded models with their versions; undefined if the engine does not report them. */
  readonly loaded: readonly LoadedModel[] | undefined
}

/** Parses a load report; undefined if it is malformed. */
export function parseLoadReport(document: unknown): ParsedReport | undefined {
  const parsed = loadSchema.safeParse(document)
  if (!parsed.success) return undefined
  const { loaded, ...report } = parsed.data
  const loadedModels = loaded?.map(({ model }) => model)
  return { report: { ...report, loadedModels }, loaded }
}

/** Parses cache events; undefined if they are malformed. */
export function parseCacheEvents(document: unknown): readonly CacheEvent[] | undefined {
  const parsed = cacheEventsSchema.safeParse(document)
  return parsed.success ? parsed.data.events : undefined
}
