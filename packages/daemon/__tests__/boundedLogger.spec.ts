import { expect, it } from 'vitest'
import { VirtualClock } from '@rackwalk/shared'
import { BoundedLogger } from '@rackwalk/daemon'

/** Guards against warnings that are dropped because lines about served requests have used up the bound. */

it('lets warnings through after more information than the bound, and reports what it drops', () => {
  const written: string[] = []
  const dropped: string[] = []
  const write = (event: string) => void written.push(event)
  const inner = { info: write, warn: write }
  const logger = new BoundedLogger(inner, new VirtualClock(), 4, event => dropped.push(event))
  for (let line = 0; line < 10; line += 1) logger.info('served', {})
  for (let line = 0; line < 3; line += 1) logger.warn('refused', {})
  expect(written).toEqual(['served', 'served', 'refused', 'refused'])
  expect(dropped).toEqual([...Array.from({ length: 8 }, () => 'served'), 'refused'])
})
