import { rendezvousChoice } from '@rackwalk/coordination'
import type { Milliseconds, TokenCount } from '@rackwalk/shared'
import type { PromptPart } from './dialect.js'
import type { InstanceLoad } from './peerLoads.js'
import type { ServerState } from './serverDirectory.js'

/** Decides which server gets a request: a pure function of what is known. */

export interface ChoiceInputs {
  readonly servers: readonly ServerState[]
  /** Servers that this request has been sent to. */
  readonly tried: ReadonlySet<string>
  /** What other instances have in progress at a server. */
  readonly peerLoad: (server: string) => InstanceLoad
  /** Tokens that a server would have to read of this prompt. */
  readonly uncachedTokens: (server: string) => TokenCount
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
/** A token read here delays this request and all that run beside it. */
const READING_WEIGHT = 2
/** Instances that hear nothing of each other still agree where a shared part should lie. */
const AFFINITY_BONUS: TokenCount = 200
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
  const peers = inputs.peerLoad(server.record.id)
  const running = Math.max(server.running + peers.running, reported)
  const pending = server.pendingTokens + peers.pendingTokens
  const reading = READING_WEIGHT * inputs.uncachedTokens(server.record.id)
  const cost = pending + reading + RUNNING_COST * running + WAITING_COST * waiting
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
