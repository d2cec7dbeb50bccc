/** Creates the ledger of an instance's prepaid budgets from its settings. */

import { DemandHoldingPolicy, EqualHoldingPolicy, PrepaidLedger } from '@rackwalk/coordination'
import type { LoanChannel, StoreClock } from '@rackwalk/coordination'
import type { Clock } from '@rackwalk/shared'
import type { RowStore } from '@rackwalk/stores'
import type { ActiveFleet } from './activeFleet.js'
import type { GatewaySettings } from './gatewaySettings.js'
import type { GatewayTelemetry } from './gatewayTelemetry.js'

/** What the ledger uses of its instance. */
export interface LedgerSources {
  readonly settings: GatewaySettings
  readonly incarnation: string
  readonly store: RowStore
  readonly storeClock: StoreClock
  readonly clock: Clock
  readonly fleet: ActiveFleet
  readonly telemetry: GatewayTelemetry
  readonly loanChannel: LoanChannel
}

/** Creates the ledger; it holds nothing before its budgets are configured. */
export function createLedger(sources: LedgerSources): PrepaidLedger {
  const { settings, incarnation, fleet, telemetry, loanChannel } = sources
  const { instance, store, budgets } = settings
  return new PrepaidLedger({
    instance: instance.id,
    incarnation,
    store: sources.store,
    storeClock: sources.storeClock,
    clock: sources.clock,
    // The clock starts at 0 with the process, and the previous incarnation had terminated by then.
    startedAt: 0,
    policy: budgets.policy === 'equal' ? new EqualHoldingPolicy() : new DemandHoldingPolicy(),
    isActive: () => fleet.isSelfSettled,
    otherInstances: () => fleet.activeOthers.map(member => member.instance),
    limits: {
      writesPerSecond: store.writesPerSecond,
      partitionWritesPerSecond: store.partitionWritesPerSecond,
      reserveShare: budgets.reserveShare,
    },
    loanChannel,
    onEvent: (event, fields) => telemetry.note(event, fields),
    onTakeover: (budget, takeover) => telemetry.noteTakeover(budget, takeover),
    onMalformedRow: row => telemetry.noteMalformedRow(row),
  })
}
