/** `rackwalk explain`: shows why a request was decided as it was. */

import type { Table } from '../output/table.js'
import { formatCell, printDocument } from '../output/print.js'
import type { CommandContext } from './context.js'

interface ScoredEndpoint {
  readonly endpointId: string
  readonly score: number
}

interface Decision {
  readonly requestId: string
  readonly instanceId: string
  readonly receivedAt: number
  readonly teamId?: string
  readonly target?: string
  readonly code?: number
  readonly execution?: string
  readonly detail?: string
  readonly queuedMilliseconds?: number
  readonly allocation?: Readonly<Record<string, number>>
  readonly reservedTokens?: number
  readonly promptTokens?: number
  readonly generatedTokens?: number
  readonly billedTokens?: number
  readonly billDurability?: string
  readonly firstByteMilliseconds?: number
  readonly totalMilliseconds?: number
  readonly routing: readonly {
    readonly policy: string
    readonly endpointId: string
    readonly outcome: string
    readonly compared: readonly ScoredEndpoint[]
  }[]
}

/** `explain REQUEST`: shows why this engine, why this refusal, why this cost. */
export async function explain(context: CommandContext, requestId: string): Promise<void> {
  const path = `/v1/requests/${encodeURIComponent(requestId)}`
  const decision = (await context.connection.get(path)) as unknown as Decision
  printDocument(context.environment, context.format, decision, () => explanation(decision))
}

function explanation(decision: Decision): Table {
  const rows = [...outcomeRows(decision), ...routingRows(decision), ...spendRows(decision)]
  return { headings: ['question', 'answer'], rows: rows.filter(([, answer]) => answer !== '') }
}

function outcomeRows(decision: Decision): readonly string[][] {
  return [
    ['request', decision.requestId],
    ['decided by', decision.instanceId],
    ['received', new Date(decision.receivedAt).toISOString()],
    ['team', formatCell(decision.teamId)],
    ['asked for', formatCell(decision.target)],
    ['result', `${formatCell(decision.code)} ${formatCell(decision.execution)}`],
    ['because', formatCell(decision.detail)],
    ['queued', milliseconds(decision.queuedMilliseconds)],
    ['first byte', milliseconds(decision.firstByteMilliseconds)],
    ['total', milliseconds(decision.totalMilliseconds)],
  ]
}

function routingRows(decision: Decision): readonly string[][] {
  return decision.routing.flatMap((routing, position) => [
    [`attempt ${position + 1}`, `${routing.endpointId} by ${routing.policy}: ${routing.outcome}`],
    ...routing.compared.map(({ endpointId, score }) => [
      '  compared',
      `${endpointId} scored ${score.toFixed(2)}`,
    ]),
  ])
}

function spendRows(decision: Decision): readonly string[][] {
  const { allocation } = decision
  const held =
    allocation === undefined
      ? ''
      : `${formatCell(allocation['available'])} available and ${formatCell(allocation['reserved'])} reserved here; ` +
        `limit ${formatCell(allocation['limit'])}, settled ${formatCell(allocation['settled'])}, free ${formatCell(allocation['free'])}`
  return [
    ['allocation', held],
    ['reserved', formatCell(decision.reservedTokens)],
    ['prompt tokens', formatCell(decision.promptTokens)],
    ['generated tokens', formatCell(decision.generatedTokens)],
    ['billed tokens', formatCell(decision.billedTokens)],
    ['bill kept', formatCell(decision.billDurability)],
  ]
}

function milliseconds(value: number | undefined): string {
  return value === undefined ? '' : `${Math.round(value)} ms`
}
