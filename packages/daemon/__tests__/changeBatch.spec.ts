import { describe, expect, it } from 'vitest'
import { ChangeBatch } from '@rackwalk/daemon'

/** Log lines about changes that occur together. */

function linesOf(changes: number): unknown[] {
  const lines: unknown[] = []
  let flush = () => {}
  const batch = new ChangeBatch(
    (event, fields) => lines.push([event, fields]),
    run => (flush = run),
  )
  for (let index = 0; index < changes; index += 1) {
    const kind = index % 4 === 0 ? 'draining' : 'serving'
    batch.note('member_state', { kind, fields: { member: `instance-${index}`, state: kind } })
  }
  flush()
  return lines
}

describe('changes that occur together', () => {
  it('are logged one by one if they are few', () => {
    expect(linesOf(3)).toMatchInlineSnapshot(`
      [
        [
          "member_state",
          {
            "member": "instance-0",
            "state": "draining",
          },
        ],
        [
          "member_state",
          {
            "member": "instance-1",
            "state": "serving",
          },
        ],
        [
          "member_state",
          {
            "member": "instance-2",
            "state": "serving",
          },
        ],
      ]
    `)
  })

  it('are counted in one line if they are many', () => {
    expect(linesOf(194)).toMatchInlineSnapshot(`
      [
        [
          "member_states",
          {
            "count": 194,
            "draining": 49,
            "serving": 145,
          },
        ],
      ]
    `)
  })
})
