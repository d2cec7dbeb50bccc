/**
 * Names of the counts that the coordination components report; an embedder maps them to its
 * metrics.
 */
export type CounterName =
  | 'journal_flushes'
  | 'journal_flush_retries'
  | 'journal_entries'
  | 'journal_held_entries'
  | 'held_objects_written'
  | 'held_objects_failed'
  | 'journal_sealed'
  | 'budget_exchanges'
  | 'budget_exchange_conflicts'
  | 'budget_exchange_unresolved'
  | 'budget_tokens_granted'
  | 'budget_tokens_returned'
  | 'budget_tokens_lent'
  | 'budget_tokens_borrowed'
  | 'budget_bound_exceeded'
  | 'budget_refusals'
  | 'claims_made'
  | 'claims_lost'
  | 'claims_abandoned'
  | 'incarnations_sealed'
  | 'incarnations_reclaimed'
  | 'configuration_applied'
  | 'configuration_from_peer'
  | 'heartbeats_sent'
  | 'heartbeats_failed'
  | 'table_reads'
  | 'table_writes'
  | 'malformed_forms'
  | 'crash_news_failed'
  | 'advice_news_failed'
  | 'endpoint_advice'

/** Receives increments of the counts; must not throw. */
export interface Counters {
  increment(name: CounterName, amount?: number): void
}

/** Keeps counts in memory, for tests and for embedders without a metrics library. */
export class MemoryCounters implements Counters {
  private readonly counts = new Map<CounterName, number>()

  increment(name: CounterName, amount = 1): void {
    this.counts.set(name, this.get(name) + amount)
  }

  get(name: CounterName): number {
    return this.counts.get(name) ?? 0
  }
}
