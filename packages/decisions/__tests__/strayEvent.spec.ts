import { expect, it } from 'vitest'
import { isStrayEvent } from '@rackwalk/decisions'

/** Guards against pieces that a caller of a stream gets twice, or that belong to another request. */

const IDS = [undefined, '', '1', '007', '9', '10', '99999999999999999999', 'a-12']

it('takes an event for stray unless its id rises, and whatever begins with the head of an answer', () => {
  const rows = IDS.flatMap(lastId =>
    IDS.map(id => {
      const isStray = isStrayEvent({ beginsAnswer: false, id }, lastId)
      return isStray ? `${id} after ${lastId}` : undefined
    }),
  ).filter(row => row !== undefined)
  expect(rows).toMatchInlineSnapshot(`
    [
      "1 after 1",
      "1 after 007",
      "007 after 007",
      "1 after 9",
      "007 after 9",
      "9 after 9",
      "1 after 10",
      "007 after 10",
      "9 after 10",
      "10 after 10",
      "1 after 99999999999999999999",
      "007 after 99999999999999999999",
      "9 after 99999999999999999999",
      "10 after 99999999999999999999",
      "99999999999999999999 after 99999999999999999999",
    ]
  `)
  expect(isStrayEvent({ beginsAnswer: true, id: '2' }, '1')).toBe(true)
})
