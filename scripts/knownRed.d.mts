export interface KnownRed {
  readonly line: string
  readonly failsSometimes: boolean
}

export interface TestFileResult {
  readonly status: string
  readonly assertionResults: readonly { readonly fullName: string; readonly status: string }[]
}

export interface RunVerdict {
  readonly passed: number
  readonly skipped: number
  readonly unexpected: number
  readonly faults: number
  readonly messages: readonly string[]
}

export function readKnownRed(text: string): Map<string, KnownRed>
export function judgeRun(
  known: ReadonlyMap<string, KnownRed>,
  files: readonly TestFileResult[],
  exists?: (folder: string) => boolean,
): RunVerdict
