/** Shell completion scripts. */

import { usageError } from './errors.js'

/** Kinds of resources, offered as arguments. */
const KINDS = ['teams', 'budgets', 'endpoints', 'placements', 'routing-policies', 'evacuations']

/** Returns the completion script for a shell. */
export function completionScript(shell: string, commands: readonly string[]): string {
  const words = [...commands, ...KINDS].join(' ')
  switch (shell) {
    case 'bash':
      return `complete -W "${words}" rackwalk`
    case 'zsh':
      return `#compdef rackwalk\n_arguments '*: :(${words})'`
    case 'fish':
      return words
        .split(' ')
        .map(word => `complete -c rackwalk -f -a ${word}`)
        .join('\n')
    default:
      throw usageError('completion supports bash, zsh and fish')
  }
}
