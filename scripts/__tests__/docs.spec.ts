import { existsSync, readFileSync, readdirSync } from 'node:fs'
import { dirname, join } from 'node:path'
import { describe, expect, it } from 'vitest'

/** The documentation pages refer to things that exist, and name every rule and log event. */

const ROOT = new URL('../../', import.meta.url).pathname

function read(path: string): string {
  return readFileSync(join(ROOT, path), 'utf8')
}

function pages(): readonly string[] {
  const inDocs = readdirSync(join(ROOT, 'docs'), { recursive: true, encoding: 'utf8' })
  const paths = [...readdirSync(ROOT), ...inDocs.map(path => join('docs', path))]
  return paths.filter(path => path.endsWith('.md'))
}

/** Returns the anchors of a page, derived from its headings. */
function anchorsOf(path: string): ReadonlySet<string> {
  const headings = [...read(path).matchAll(/^#+ (.*)$/gm)].map(([, heading = '']) => heading)
  return new Set(
    headings.map(heading =>
      heading
        .toLowerCase()
        .replace(/[^\p{L}\p{N} _-]/gu, '')
        .replaceAll(' ', '-'),
    ),
  )
}

/** Returns the links of a page whose target file or heading does not exist. */
function brokenLinks(page: string): readonly string[] {
  const links = [...read(page).matchAll(/\]\(([^)\s]+)\)/g)].map(([, target = '']) => target)
  return links.filter(link => {
    if (/^[a-z]+:/.test(link)) return false
    const [file = '', anchor] = link.split('#')
    const path = file === '' ? page : join(dirname(page), file)
    if (!existsSync(join(ROOT, path))) return true
    return anchor !== undefined && path.endsWith('.md') && !anchorsOf(path).has(anchor)
  })
}

describe('the pages', () => {
  it('link only to files and headings that exist', () => {
    const broken = pages().flatMap(page => brokenLinks(page).map(link => `${page}: ${link}`))
    expect(broken).toEqual([])
  })

  it('contain links, and a missing heading is noticed', () => {
    // Control: the check above would also pass if it found no links at all.
    const links = pages().flatMap(page => [...read(page).matchAll(/\]\(([^)\s]+)\)/g)])
    expect(links.length).toBeGreaterThan(50)
    expect(anchorsOf('README.md').has('try-it')).toBe(true)
    expect(anchorsOf('README.md').has('not-there')).toBe(false)
  })

  it('name each rule of packages/decisions, and no other', () => {
    const source = join(ROOT, 'packages/decisions/src')
    const folders = readdirSync(source, { withFileTypes: true }).filter(entry =>
      entry.isDirectory(),
    )
    const modules = folders.flatMap(({ name }) =>
      readdirSync(join(source, name)).map(file => `${name}/${file}`),
    )
    const page = read('docs/decisions.md').split('Rules that still stand elsewhere')[0] ?? ''
    const named = [...page.matchAll(/`([a-z]+\/[A-Za-z]+\.ts)`/g)].map(([, name = '']) => name)
    // attemptOutcome.ts declares a type that several rules share; it is not a rule.
    const rules = modules.filter(module => module !== 'retrying/attemptOutcome.ts')
    expect([...new Set(named)].sort()).toEqual(rules.sort())
  })

  it('explain each log event of a gateway instance to operators', () => {
    const snapshot = read('platform/__tests__/__snapshots__/logEvents.spec.ts.snap')
    const events = [...snapshot.matchAll(/^ {2}"([a-z_]+)": \{$/gm)].map(([, event = '']) => event)
    const required = [...events, 'request', 'prepaid_store_lost', 'prepaid_taken_over']
    expect(required.length).toBeGreaterThan(10)
    const page = read('docs/OPERATIONS.md')
    expect(required.filter(event => !page.includes(`\`${event}\``))).toEqual([])
  })
})
