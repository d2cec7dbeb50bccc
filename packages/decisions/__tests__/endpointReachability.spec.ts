import { describe, expect, it } from 'vitest'
import { isServiceUnreachable, linksToProbe, unreachableLinks } from '@rackwalk/decisions'
import type { EndpointLink } from '@rackwalk/decisions'

const NOW = 10_000
const LONG_AGO = Number.NEGATIVE_INFINITY

/** `+` succeeded, `-` failed, `.` was never tried; the letter is the failure domain. */
function linksOf(text: string): readonly (EndpointLink & { name: string })[] {
  return text.split(' ').map((name, index) => ({
    name,
    failureDomain: name.slice(0, 1),
    connectedAt: name.endsWith('+') ? NOW - 200 + index : LONG_AGO,
    failedAt: name.endsWith('-') ? NOW - 100 + index : LONG_AGO,
  }))
}

function unreachableOf(text: string, now = NOW): string {
  return [...unreachableLinks(linksOf(text), now)].map(({ name }) => name).join(' ') || 'none'
}

describe('the links that an instance considers unreachable', () => {
  it('are those of a failure domain or a service to which no new connection succeeds', () => {
    const cases = [
      'a- a. a. b+ b+ c+',
      'a- a- a. b+ b+ c+',
      'a- a- a+ b+ b+ c+',
      'a- b- c+ a. b. c.',
      'a- b- c- a. b. c.',
      'a- b- c- a+ b. c.',
      'a- a- b. b. c. c.',
      'a- a-',
      'a- b+',
      'a-',
    ]
    expect(cases.map(text => `${text} => ${unreachableOf(text)}`)).toMatchInlineSnapshot(`
      [
        "a- a. a. b+ b+ c+ => none",
        "a- a- a. b+ b+ c+ => a- a- a.",
        "a- a- a+ b+ b+ c+ => a- a- a+",
        "a- b- c+ a. b. c. => none",
        "a- b- c- a. b. c. => a- b- c- a. b. c.",
        "a- b- c- a+ b. c. => a- b- c- a+ b. c.",
        "a- a- b. b. c. c. => a- a-",
        "a- a- => a- a-",
        "a- b+ => none",
        "a- => a-",
      ]
    `)
  })

  it('expire unless a new failure renews them', () => {
    expect(unreachableOf('a- a- a-', NOW + 1_800)).toBe('a- a- a-')
    expect(unreachableOf('a- a- a-', NOW + 2_000)).toBe('none')
  })

  it('are none where a connection succeeded after the failures, to whichever endpoint', () => {
    const failed = linksOf('a- b- c-')
    const recovered = { failureDomain: 'c', connectedAt: NOW, failedAt: LONG_AGO, name: 'c+' }
    expect(isServiceUnreachable(failed, NOW)).toBe(true)
    expect(isServiceUnreachable([...failed, recovered], NOW)).toBe(false)
  })

  it('are none where a service has no endpoint', () => {
    expect(isServiceUnreachable([], NOW)).toBe(false)
    expect(unreachableLinks([], NOW).size).toBe(0)
  })
})

describe('the links that are probed after a failure', () => {
  it('are spread over failure domains, those that did not fail first', () => {
    const chosen = linksToProbe(linksOf('a- a. a. b. b. c- c.'), NOW, 0)
    expect(chosen.map(({ name }) => name)).toMatchInlineSnapshot(`
      [
        "a.",
        "b.",
        "c.",
        "a.",
      ]
    `)
  })
})
