import { expect, it } from 'vitest'
import { provesTakeover } from '@rackwalk/decisions'
import { asId } from '@rackwalk/shared'
import type { EndpointId } from '@rackwalk/shared'

/** Guards against a single garbled refusal that ends a sound endpoint with all its requests. */

const ENDPOINT = asId<EndpointId>('endpoint-1')
const NAMES = { nobody: undefined, itself: ENDPOINT, another: asId<EndpointId>('endpoint-2') }

it('takes a refusal for a proof if it names another server or follows another such refusal', () => {
  const rows = Object.entries(NAMES).flatMap(([name, refusedBy]) =>
    [false, true].map(wasMisdirected => {
      const isProof = provesTakeover({ refusedBy, endpoint: ENDPOINT, wasMisdirected })
      return `names ${name}, ${wasMisdirected ? 'second' : 'first'}: ${isProof}`
    }),
  )
  expect(rows).toMatchInlineSnapshot(`
    [
      "names nobody, first: false",
      "names nobody, second: true",
      "names itself, first: false",
      "names itself, second: true",
      "names another, first: true",
      "names another, second: true",
    ]
  `)
})
