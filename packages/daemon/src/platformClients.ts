/**
 * Creates what the settings of an OpenAI-style instance name: the clients of its platform, and the policy that
 * divides budgets.
 */

import { DynamodbTableService, S3ObjectStore } from '@rackwalk/stores'
import {
  ValidatingTable,
  EqualSplitPolicy,
  RateProportionalPolicy,
  CostWeightedPolicy,
} from '@rackwalk/coordination'
import type { AllocationPolicy } from '@rackwalk/coordination'
import type { MalformedInputLog } from './observe/malformedInputLog.js'
import { readSecret } from './settings/sources.js'
import type { Settings } from './settings/schema.js'

/** Creates the policy that divides budgets among instances. */
export function createPolicy(policy: Settings['budgetPolicy']): AllocationPolicy {
  switch (policy.name) {
    case 'equal-split':
      return new EqualSplitPolicy()
    case 'rate-proportional':
      return new RateProportionalPolicy()
    case 'weighed':
      return new CostWeightedPolicy({
        overspend: policy.overspendWeight,
        falseRefusal: policy.falseRefusalWeight,
      })
  }
}

/** Creates the client of the table. */
export function createTable({ platform: { table } }: Settings): DynamodbTableService {
  return new DynamodbTableService({
    endpoint: table.endpoint,
    region: table.region,
    tableName: table.name,
    accessKeyId: readSecret(table.accessKeyId),
    secretAccessKey: readSecret(table.secretAccessKey),
    timeoutMilliseconds: table.timeoutMilliseconds,
  })
}

/** Creates the client of the object store. */
export function createObjects({ platform: { objects } }: Settings): S3ObjectStore {
  return new S3ObjectStore({
    endpoint: objects.endpoint,
    region: objects.region,
    bucket: objects.bucket,
    accessKeyId: readSecret(objects.accessKeyId),
    secretAccessKey: readSecret(objects.secretAccessKey),
    timeoutMilliseconds: objects.timeoutMilliseconds,
  })
}

/** Wraps the table so that all parts read validated rows; a malformed row is reported. */
export function createCheckedTable(
  table: DynamodbTableService,
  malformed: MalformedInputLog,
): ValidatingTable {
  return new ValidatingTable(table, ({ partition, sort }) =>
    malformed.note({ form: 'row', source: `${partition}/${sort}` }),
  )
}
