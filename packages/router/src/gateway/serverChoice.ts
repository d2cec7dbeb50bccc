import { rendezvousChoice } from '@rackwalk/coordination'
import type { Milliseconds, TokenCount } from '@rackwalk/shared'
import type { PromptPart } from './dialect.js'
import type { ServerState } from './serverDirectory.js'

/** Decides which server gets a request: a pure function of what is known. */

export interface ChoiceInputs {
  readonly servers: readonly ServerState[]
  /** Servers that this request has been sent to. */
  readonly tried: ReadonlySet<string>
  readonly promptParts: readonly PromptPart[]
  readonly failureDomain: string
  readonly now: Milliseconds
  /** In [0, 1); breaks ties. */
  readonly chance: number
}

export interface ServerScore {
  readonly server: ServerState
  /** Expected wait in prompt tokens; smaller is better. */
  readonly score: number
}

/** What one running request costs the next, in prompt tokens. */
const RUNNING_COST: TokenCount = 60
/** A part that is probably cached there saves at most this much of waiting. */
const AFFINITY_BONUS: TokenCount = 500
/** Bytes between failure domains have a price. */
const NEAR_BONUS: TokenCount = 60
/** Cost of a server of which all late requests failed. */
const FAILURE_COST: TokenCount = 12_000
/** A server that fails more than this is passed over while another does not. */
const EJECTED_FAILURES = 0.6
/** A load report counts for this long. */
const REPORT_MILLISECONDS = 400
/** What one request that waits at the server costs, beyond a running one. */
const WAITING_COST: TokenCount = 400

/** Scores of all servers that may take the request, best first. */
export function rankServers(inputs: ChoiceInputs): readonly ServerScore[] {
  const open = inputs.servers.filter(
    server => server.hasRoom && !inputs.tried.has(server.record.id),
  )
  const sound = open.filter(server => server.failures < EJECTED_FAILURES)
  const candidates = sound.length > 0 ? sound : open
  const favourite = affinityOf(inputs)
  const offset = Math.floor(inputs.chance * Math.max(1, candidates.length))
  const rotated = [...candidates.slice(offset), ...candidates.slice(0, offset)]
  return rotated
    .map(server => ({ server, score: scoreOf(server, inputs, favourite) }))
    .sort((left, right) => left.score - right.score)
}

function scoreOf(server: ServerState, inputs: ChoiceInputs, favourite: string | undefined): number {
  const isFresh = inputs.now - server.loadAt < REPORT_MILLISECONDS
  const reported = isFresh ? (server.load?.running ?? 0) : 0
  const waiting = isFresh ? (server.load?.waiting ?? 0) : 0
  const running = Math.max(server.running, reported)
  const cost = server.pendingTokens + RUNNING_COST * running + WAITING_COST * waiting
  const affinity = server.record.id === favourite ? AFFINITY_BONUS : 0
  const near = server.record.failureDomain === inputs.failureDomain ? NEAR_BONUS : 0
  return cost + FAILURE_COST * server.failures ** 2 - affinity - near
}

/** The server to which all instances send a shared part, by highest hash. */
function affinityOf(inputs: ChoiceInputs): string | undefined {
  const parts = inputs.promptParts
  // The last part belongs to one request; the one before it is what others share.
  const shared = parts.length > 1 ? parts[parts.length - 2] : undefined
  if (shared === undefined) return undefined
  const ids = inputs.servers.map(server => server.record.id)
  return rendezvousChoice(shared.id, ids)
}
