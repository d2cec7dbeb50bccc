import type { GatewayRecord } from '@rackwalk/router'

/** The fields of the log line that tells of one request. */
export function requestLine(record: GatewayRecord): Readonly<Record<string, unknown>> {
  return {
    request: record.requestId,
    ...record,
    requestId: undefined,
    receivedAt: undefined,
    firstByteMilliseconds: rounded(record.firstByteMilliseconds),
    totalMilliseconds: rounded(record.totalMilliseconds),
  }
}

function rounded(value: number | undefined): number | undefined {
  return value === undefined ? undefined : Math.round(value)
}
