import { readFile } from 'node:fs/promises'
import { expect, it } from 'vitest'

/** Guards against specs that are not type-checked again, and sources that are not formatted. */

interface Project {
  readonly references: readonly { readonly path: string }[]
}

const TESTS = 'tsconfig.tests.json'

async function referencesOf(file: string): Promise<readonly string[]> {
  const { references } = JSON.parse(await readFile(file, 'utf8')) as Project
  return references.map(({ path }) => path)
}

it('type-checks the specs again after a change of any package', async () => {
  const projects = await referencesOf('tsconfig.json')
  expect(await referencesOf(TESTS)).toEqual(projects.filter(path => path !== TESTS))
})

it('leaves only the folder of journals at the root unformatted', async () => {
  const patterns = (await readFile('.prettierignore', 'utf8')).split('\n')
  expect(patterns).toContain('/journal')
  expect(patterns).not.toContain('journal')
})
