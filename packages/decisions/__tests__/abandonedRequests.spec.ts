import { describe, expect, it } from 'vitest'
import { AbandonedRequests } from '@rackwalk/decisions'

/**
 * Reads `count` requests from `from` on, one each 10 ms; the callers for which `leaves` holds leave
 * 13 ms after their request was read. Returns the time after the last one.
 */
function read(
  requests: AbandonedRequests,
  from: number,
  count: number,
  leaves: (index: number) => boolean,
) {
  for (let index = 0; index < count; index += 1) {
    const now = from + index * 10
    requests.noteRead(now)
    if (leaves(index)) requests.noteLeft(13, now + 13)
  }
  return from + count * 10
}

describe('requests whose callers had left before they were read', () => {
  it('delay later requests while their share is elevated', () => {
    const requests = new AbandonedRequests()
    const seen: string[] = []
    const note = (label: string, now: number) => {
      const wait = requests.leaveNoticeMilliseconds(now).toFixed(0)
      seen.push(`${label}: share ${requests.share(now).toFixed(2)}, waits ${wait} ms`)
    }
    let now = read(requests, 0, 100, () => false)
    note('all stay', now)
    now = read(requests, now, 100, index => index % 50 === 0)
    note('one in fifty leaves', now)
    now = read(requests, now, 100, () => true)
    note('all had left', now)
    now = read(requests, now, 50, () => false)
    note('half a second later', now)
    now = read(requests, now, 100, () => false)
    note('a second and a half later', now)
    expect(seen).toMatchInlineSnapshot(`
      [
        "all stay: share 0.00, waits 0 ms",
        "one in fifty leaves: share 0.01, waits 0 ms",
        "all had left: share 1.00, waits 16 ms",
        "half a second later: share 0.46, waits 16 ms",
        "a second and a half later: share 0.00, waits 0 ms",
      ]
    `)
  })

  it('do not count where there are few requests, or where callers leave later', () => {
    const few = new AbandonedRequests()
    read(few, 0, 5, () => true)
    const late = new AbandonedRequests()
    for (let now = 0; now < 1_000; now += 10) {
      late.noteRead(now)
      late.noteLeft(400, now + 400)
    }
    expect([few.isShareElevated(60), late.isShareElevated(1_000)]).toEqual([false, false])
  })
})
