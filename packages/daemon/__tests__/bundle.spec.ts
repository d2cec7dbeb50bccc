import { build } from 'esbuild'
import type { Metafile } from 'esbuild'
import { describe, expect, it } from 'vitest'
import { bundles } from '../../../scripts/bundles.mjs'

/** Packages that only the OpenAI-style kind needs; small machines pay for each at every start. */
const HEAVY = ['@aws-sdk', '@grpc', '@smithy', 'protobufjs', 'undici']

/** Inputs of an entry's output and of all outputs that it imports, statically or dynamically. */
function inputsReachedFrom(outputs: Metafile['outputs'], entry: string): readonly string[] {
  const reached = new Set<string>([entry])
  for (const name of reached) {
    for (const { path } of outputs[name]?.imports ?? []) if (path in outputs) reached.add(path)
  }
  return [...reached].flatMap(name => Object.keys(outputs[name]?.inputs ?? {}))
}

describe('the bundle that an instance loads first', () => {
  it('holds no package that only the OpenAI-style kind needs', async () => {
    const [gateway] = bundles
    if (gateway === undefined) throw new Error('no bundle')
    const result = await build({ ...gateway, write: false, metafile: true })
    const inputs = inputsReachedFrom(result.metafile.outputs, 'target/rackwalkd.mjs')
    expect(inputs.length).toBeGreaterThan(0)
    expect(inputs.filter(input => HEAVY.some(name => input.includes(`/${name}/`)))).toEqual([])
  })

  it('holds none of them as one file with its code cache either', async () => {
    const program = bundles.find(({ entryPoints }) => 'program' in Object(entryPoints))
    if (program === undefined) throw new Error('no bundle')
    const result = await build({ ...program, write: false, metafile: true })
    const inputs = inputsReachedFrom(result.metafile.outputs, 'target/program.js')
    expect(inputs.length).toBeGreaterThan(0)
    const unneeded = [...HEAVY, '@opentelemetry']
    expect(inputs.filter(input => unneeded.some(name => input.includes(`/${name}/`)))).toEqual([])
  })
})
