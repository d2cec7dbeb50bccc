/** The outside world as a command sees it, which tests can replace. */
export interface CommandEnvironment {
  readonly variables: Readonly<Record<string, string | undefined>>
  readonly isTerminal: boolean
  readonly print: (text: string) => void
  readonly printError: (text: string) => void
  readonly readFile: (path: string) => Promise<string>
  readonly now: () => number
}
