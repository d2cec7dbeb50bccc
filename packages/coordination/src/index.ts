/**
 * The embeddable coordination library: budgets that cannot be overspent, a fenced journal with
 * exactly-once bills, claims for at-most-once requests, membership and configuration. The platform
 * and the channel to peers are passed in as interfaces.
 */
export { SEALED_EXIT_CODE, createBill, createBudget, standaloneParts } from './standalone.js'
export type { NewBudget, ServedRequest, StandaloneOptions } from './standalone.js'
export { CoordinationNode, notServingCode } from './coordinationNode.js'
export type { CoordinationNodeParts, NodeIdentity } from './coordinationNode.js'
export { DEFAULT_NODE_TIMINGS } from './nodeTimings.js'
export type { NodeTimings } from './nodeTimings.js'
export { ValidatingTable } from './validatingTable.js'
export { CountingTable } from './countingTable.js'
export { decodeRowValue } from './rowCodecs.js'
export { MemoryCounters } from './counters.js'
export type { CounterName, Counters } from './counters.js'
export { committedBound, rendezvousChoice, rendezvousOrder } from '@rackwalk/decisions'
export * as tableKeys from './tableKeys.js'

export { DEFAULT_JOURNAL_LIMITS, Journal } from './journal/journal.js'
export type {
  Durability,
  FlushOutcome,
  JournalLimits,
  JournalParts,
  JournalRecord,
  JournalTicket,
} from './journal/journal.js'
export { entriesAfter, lastIndexOf } from './journal/journalEntry.js'
export type {
  HeldEntry,
  IndexedEntry,
  JournalEntry,
  JournalSlot,
  LendEntry,
  SettleEntry,
} from './journal/journalEntry.js'
export { DirectCommitter } from './journal/batchCommitter.js'
export type { BatchCommitter } from './journal/batchCommitter.js'
export { BatchCoalescer, DomainCommitter } from './journal/domainCommitter.js'
export { HeldEntryArchive } from './journal/heldEntryArchive.js'
export type { HeldEntryArchiveParts } from './journal/heldEntryArchive.js'
export { HeldEntryStore } from './journal/heldEntryStore.js'
export { JournalReplicator } from './journal/journalReplicator.js'
export { readJournal } from './journal/journalReader.js'

export { Allocation } from './budget/allocation.js'
export type { Reservation } from './budget/allocation.js'
export {
  EqualSplitPolicy,
  RateProportionalPolicy,
  CostWeightedPolicy,
} from './budget/allocationPolicy.js'
export type {
  AllocationPolicy,
  AllocationView,
  ErrorCostWeights,
} from './budget/allocationPolicy.js'
export { BudgetLedger } from './budget/budgetLedger.js'
export type {
  BudgetLedgerParts,
  ReservationRefusal,
  ReservationResult,
} from './budget/budgetLedger.js'
export {
  allocatedTokens,
  applyExchange,
  budgetRowCodec,
  createBudgetRow,
  freeTokens,
  reclaimHolding,
  withLimit,
} from './budget/budgetRow.js'
export type { BudgetRow, ExchangeRequest, FoldedTransfer, Holding } from './budget/budgetRow.js'
export { BudgetStore } from './budget/budgetStore.js'
export { Reclaimer } from './budget/reclaimer.js'

export { Claims } from './claims/claims.js'
export type { Claim, ClaimResult, ClaimsParts } from './claims/claims.js'
export type { ClaimRow, ClaimState } from './claims/claimRow.js'
export { KeyRegistrar, KeyRegistrarClient } from './claims/keyRegistrar.js'

export { ConfigurationFollower } from './configuration/configurationFollower.js'
export type { ConfigurationListener } from './configuration/configurationFollower.js'
export { ResourceStore } from './configuration/resourceStore.js'
export type {
  ResourceWrite,
  ResourceWriteResult,
  WriteRecord,
} from './configuration/resourceStore.js'
export {
  resourceCodec,
  resourceId,
  resourceKey,
  resourcePartition,
} from './configuration/resource.js'
export type { Resource, ResourceMetadata } from './configuration/resource.js'

export { chooseAddresses } from './membership/callerAddresses.js'
export type { CallerAddresses } from './membership/callerAddresses.js'
export { IncarnationRegistry } from './membership/incarnationRegistry.js'
export type { IncarnationRecord } from './membership/incarnationRegistry.js'
export { Lease } from './membership/lease.js'
export { Membership } from './membership/membership.js'
export { Reaper } from './membership/reaper.js'
export { Sealer } from './membership/sealer.js'
export type { SealOutcome, SealerParts } from './membership/sealer.js'

export type {
  ConfigurationChange,
  ConfigurationSnapshot,
  GroupDigest,
  KeyRegistration,
  MemberInfo,
  PeerChannel,
  PeerHandler,
  PeerHandlers,
  PeerMessageKind,
  PeerMessages,
  PeerReply,
  PeerRequest,
  ServingState,
} from './peerMessages.js'
export { PEER_MESSAGE_CODECS } from './peerMessageCodecs.js'
export type { PeerMessageCodecs } from './peerMessageCodecs.js'
export { foldBills, readUsage, summarizeUsage } from './usage.js'
export type { UsagePeriod, UsageLine, UsageReport } from './usage.js'
export {
  DEFAULT_ARCHIVE_LIMITS,
  DecisionArchive,
  createRequestId,
  parseRequestId,
} from './segmentArchive.js'
export type { ArchivedRecord, ArchiveLimits } from './segmentArchive.js'

export { MEMBER_PARTITION, MEMBER_TABLE, memberRowCodec } from './membership/memberRow.js'
export type { MemberRow, MemberState } from './membership/memberRow.js'
export { MemberDirectory } from './membership/memberDirectory.js'
export type { MemberDirectoryParts } from './membership/memberDirectory.js'
export { StoreClock } from './rows/storeClock.js'
export { CRASH_PARTITION, CRASH_TABLE, crashRowCodec } from './crashes/crashRow.js'
export type { CrashRow } from './crashes/crashRow.js'
export { CrashTableSync } from './crashes/crashTableSync.js'
export type { CrashTableSyncParts } from './crashes/crashTableSync.js'
export { CrashRecordStore } from './crashes/crashRecordStore.js'
export type { CrashRecordStoreParts } from './crashes/crashRecordStore.js'
export { SharedRead } from './versions/sharedRead.js'
export { VersionRecorder } from './versions/versionRecorder.js'
export type {
  Histories,
  ListedServiceVersions,
  VersionRecorderParts,
  WrittenRecord,
} from './versions/versionRecorder.js'
export { VERSION_PARTITION, VERSION_TABLE, versionRecordCodec } from './versions/versionRow.js'
export { TableMirror } from './rows/tableMirror.js'
export type {
  MirrorListener,
  MirrorPage,
  UpstreamPeer,
  TableMirrorParts,
} from './rows/tableMirror.js'
export { DemandHoldingPolicy, EqualHoldingPolicy } from '@rackwalk/decisions'
export type { BudgetView, HoldingPolicy } from '@rackwalk/decisions'
export { HoldingState } from './prepaid/holdingState.js'
export { Borrower } from './prepaid/borrower.js'
export type { LenderAnswer } from './prepaid/borrower.js'
export { Lender } from './prepaid/lender.js'
export type { LendingAccount } from './prepaid/lender.js'
export type { Loan, LoanChannel, LoanRepayment, LoanRequest } from './prepaid/loan.js'
export { PrepaidAccount } from './prepaid/prepaidAccount.js'
export type { PrepaidAccountParts } from './prepaid/prepaidAccount.js'
export type {
  PrepaidOutcome,
  PrepaidRefusal,
  PrepaidReservation,
  RefusedOutcome,
} from './prepaid/prepaidOutcome.js'
export { DEMAND_WINDOW_MILLISECONDS, DemandMeter } from './prepaid/demandMeter.js'
export { PrepaidLedger } from './prepaid/prepaidLedger.js'
export type { LedgerLimits, PrepaidLedgerParts, PrepaidLimit } from './prepaid/prepaidLedger.js'
export type { Takeover } from './prepaid/takeover.js'
export { planWrite } from './prepaid/writePlan.js'
export type { WriteInputs, WritePlan } from './prepaid/writePlan.js'
export {
  POOL_KEY,
  PREPAID_TABLE,
  endHolding,
  freeInPool,
  holderKey,
  holderRowCodec,
  poolRowCodec,
} from './prepaid/prepaidRows.js'
export type { HolderRow, PoolRow } from './prepaid/prepaidRows.js'
