import { spawnSync } from 'node:child_process'
import { cpSync, mkdirSync, mkdtempSync, rmSync, symlinkSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { dirname, join } from 'node:path'
import { ESLint } from 'eslint'
import { afterEach, describe, expect, it } from 'vitest'

/** Each check of `npm run lint` reports a fault that is planted for it. */

const ROOT = new URL('../../', import.meta.url).pathname
const DOC = '/** A module. */\n\n'

async function rulesBroken(path: string, text: string): Promise<readonly (string | null)[]> {
  const [result] = await new ESLint({ cwd: ROOT }).lintText(text, { filePath: join(ROOT, path) })
  return (result?.messages ?? []).map(({ ruleId }) => ruleId)
}

describe('rules of the linter', () => {
  it('want a doc comment at the top of a module and on what it exports', async () => {
    const path = 'packages/shared/src/planted.ts'
    expect(await rulesBroken(path, `${DOC}/** One. */\nexport const one = 1\n`)).toEqual([])
    expect(await rulesBroken(path, 'export const one = 1\n')).toEqual(['rackwalk/opening-comment'])
    expect(await rulesBroken(path, `${DOC}export class One {}\n`)).toEqual(['jsdoc/require-jsdoc'])
  })

  it('bound the length and the branches of a function', async () => {
    const path = 'packages/daemon/src/planted.ts'
    const lines = Array.from({ length: 40 }, (_, line) => `  console.log(${line})`).join('\n')
    const long = `export function long(): void {\n${lines}\n}\n`
    expect(await rulesBroken(path, long)).toContain('max-lines-per-function')
    const tests = Array.from({ length: 10 }, (_, number) => `n === ${number}`).join(' || ')
    const branched = `export const isOdd = (n: number): boolean => ${tests} || n < 0\n`
    expect(await rulesBroken(path, branched)).toContain('complexity')
  })

  it('keep the order of the packages', async () => {
    const text = "export { GatewayDaemon } from '@rackwalk/daemon'\n"
    expect(await rulesBroken('packages/router/src/planted.ts', text)).toContain(
      'no-restricted-imports',
    )
  })
})

let folder: string | undefined

afterEach(() => {
  if (folder !== undefined) rmSync(folder, { recursive: true })
  folder = undefined
})

/** Creates a temporary workspace with this repository's configuration and the given files. */
function plant(files: Readonly<Record<string, string>>): string {
  folder = mkdtempSync(join(tmpdir(), 'rackwalk-lint-'))
  for (const [path, text] of Object.entries(files)) {
    mkdirSync(dirname(join(folder, path)), { recursive: true })
    writeFileSync(join(folder, path), text)
  }
  cpSync(join(ROOT, 'tsconfig.base.json'), join(folder, 'tsconfig.base.json'))
  cpSync(join(ROOT, '.dependency-cruiser.cjs'), join(folder, '.dependency-cruiser.cjs'))
  symlinkSync(join(ROOT, 'node_modules'), join(folder, 'node_modules'))
  return folder
}

function run(command: string, options: readonly string[], cwd: string): string {
  const program = join(ROOT, 'node_modules', '.bin', command)
  const { status, stdout, stderr } = spawnSync(program, options, { cwd, encoding: 'utf8' })
  return `${status}\n${stdout}${stderr}`
}

describe('the check for import circles', () => {
  it('finds a circle of type imports', () => {
    const cwd = plant({
      'packages/one/src/left.ts':
        "import type { Right } from './right.js'\nexport type Left = Right | 1\n",
      'packages/one/src/right.ts':
        "import type { Left } from './left.js'\nexport type Right = { left: Left }\n",
    })
    const printed = run('depcruise', ['packages'], cwd)
    expect(printed).toContain('no-circular')
    expect(printed).toMatch(/^[1-9]/)
  })
})

describe('the check for unused code', () => {
  it('finds a file, an export and a dependency', () => {
    const manifest = {
      name: 'planted',
      type: 'module',
      main: 'src/index.ts',
      dependencies: { yaml: '*' },
    }
    const cwd = plant({
      'package.json': JSON.stringify(manifest),
      'knip.json': JSON.stringify({ entry: ['src/index.ts'], project: ['src/**/*.ts'] }),
      'src/index.ts': "export { used } from './used.js'\n",
      'src/used.ts': 'export const used = 1\nexport const unusedExport = 2\n',
      'src/unusedFile.ts': 'export const nobody = 3\n',
    })
    const printed = run('knip', [], cwd)
    for (const name of ['unusedFile.ts', 'unusedExport', 'yaml']) expect(printed).toContain(name)
    expect(printed).toMatch(/^[1-9]/)
  })
})
