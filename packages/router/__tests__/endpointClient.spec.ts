import { afterEach, expect, it } from 'vitest'
import { EndpointClient } from '@rackwalk/router'
import { VirtualClock, asId } from '@rackwalk/shared'
import type { EndpointId } from '@rackwalk/shared'

/** Guards against a request whose deadline passed before it was sent and that is recorded as if its caller had left. */

const client = new EndpointClient(new VirtualClock(), 1_000)

afterEach(() => client.close())

it.each([
  { end: 'deadline', reason: 'the deadline passed' },
  { end: 'caller-left', reason: 'the caller left' },
])('an attempt that is over before it is sent tells $reason', async ({ end, reason }) => {
  const result = await client.attempt({
    endpointId: asId<EndpointId>('engine-1'),
    address: 'http://127.0.0.1:1',
    method: 'POST',
    path: '/v1/chat/completions',
    headers: {},
    body: '{}',
    firstByteMilliseconds: 1_000,
    signal: AbortSignal.abort(end),
  })
  expect(result).toEqual({ kind: 'unsent', reason })
})
