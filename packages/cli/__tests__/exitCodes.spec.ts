import { readFileSync } from 'node:fs'
import { describe, expect, it } from 'vitest'
import { EXIT_CODE_MEANINGS, ExitCode } from '@rackwalk/cli'

describe('exit codes of the command line', () => {
  it('are the ones that the page for operators lists', () => {
    const page = readFileSync(new URL('../../../docs/OPERATIONS.md', import.meta.url), 'utf8')
    const codes = Object.values(ExitCode).filter(code => typeof code === 'number')
    for (const code of codes) expect(page).toContain(`${code} ${EXIT_CODE_MEANINGS[code]}`)
  })
})
