/** The command line of `rackwalk`: commands and options. */

import { cac } from 'cac'
import type { CAC } from 'cac'
import type { CommandContext } from './commands/context.js'
import { explain } from './commands/explain.js'
import * as fleet from './commands/fleet.js'
import * as resources from './commands/resources.js'
import { completionScript } from './completion.js'
import type { CommandEnvironment } from './environment.js'
import { CommandError, usageError } from './errors.js'
import { ExitCode } from './exitCodes.js'
import { OperatorHttpClient } from './operatorHttpClient.js'
import { parseOutputFormat } from './output/print.js'

/** Options common to all commands. */
interface CommonFlags {
  readonly server?: string
  readonly tokenFile?: string
  readonly output?: string
}

const DEFAULT_SERVER = 'http://127.0.0.1:8090'
const TOKEN_VARIABLE = 'RACKWALK_TOKEN'

/** Runs one command line and returns its exit code. */
export async function runProgram(
  argv: readonly string[],
  environment: CommandEnvironment,
): Promise<ExitCode> {
  const program = createProgram(environment)
  try {
    program.parse(['node', 'rackwalk', ...argv], { run: false })
    if (program.options['help'] || program.options['version']) return ExitCode.Ok
    if (program.matchedCommand === undefined) {
      throw usageError(argv.length === 0 ? 'no command; see --help' : `no command ${argv[0]}`)
    }
    await program.runMatchedCommand()
    return ExitCode.Ok
  } catch (thrown) {
    return reportError(environment, thrown)
  }
}

function createProgram(environment: CommandEnvironment): CAC {
  const program = cac('rackwalk')
  program.option('--server <url>', `Operator address of any instance (default: ${DEFAULT_SERVER})`)
  program.option(
    '--token-file <file>',
    `File with the token (default: the ${TOKEN_VARIABLE} variable)`,
  )
  program.option('-o, --output <format>', 'table, json, yaml or csv', { default: 'table' })
  const contextOf = (flags: CommonFlags) => createContext(environment, flags)
  addResourceCommands(program, contextOf)
  addFleetCommands(program, contextOf)
  addEndpointCommands(program, contextOf)
  program.command('completion <shell>', 'Print a completion script').action((shell: string) => {
    environment.print(
      completionScript(
        shell,
        program.commands.map(({ name }) => name),
      ),
    )
  })
  program.help()
  program.version('0.1.0')
  return program
}

type ContextOf = (flags: CommonFlags) => Promise<CommandContext>

function addResourceCommands(program: CAC, contextOf: ContextOf): void {
  program
    .command('apply', 'Create or replace the resources of a file')
    .option('-f, --file <file>', 'YAML file with one or more resources')
    .option('--dry-run', 'Check everything, change nothing')
    .option('--write-id <id>', 'Id by which the write can be asked about')
    .example('rackwalk apply -f team.yaml')
    .action(async flags => resources.apply(await contextOf(flags), flags))
  program
    .command('get <kind> [name]', 'Show resources')
    .option('--labels <selector>', 'Only those with these labels, as a=b,c=d')
    .example('rackwalk get budgets --labels site=balaton')
    .action(async (kind, name, flags) => resources.get(await contextOf(flags), kind, name, flags))
  program
    .command('describe <kind> <name>', 'Show one resource and where it is in force')
    .action(async (kind, name, flags) => resources.describe(await contextOf(flags), kind, name))
  program
    .command('patch <kind> <name> <json>', 'Merge a patch into a resource')
    .option('--if-version <version>', 'Only if it still has this version')
    .option('--dry-run', 'Check everything, change nothing')
    .option('--write-id <id>', 'Id by which the write can be asked about')
    .example(`rackwalk patch budgets small '{"spec":{"limit":500}}'`)
    .action(async (kind, name, json, flags) =>
      resources.patch(await contextOf(flags), kind, name, json, flags),
    )
  program
    .command('delete <kind> <name>', 'Delete a resource')
    .option('--if-version <version>', 'Only if it still has this version')
    .option('--dry-run', 'Check everything, change nothing')
    .option('--write-id <id>', 'Id by which the write can be asked about')
    .action(async (kind, name, flags) =>
      resources.remove(await contextOf(flags), kind, name, flags),
    )
  program
    .command('diff', 'Show what apply would change')
    .option('-f, --file <file>', 'YAML file with one or more resources')
    .action(async flags => resources.diff(await contextOf(flags), flags))
  program
    .command('watch [kind]', 'Show changes as they come into force')
    .option('--from <version>', 'Begin after this version')
    .option('--count <number>', 'End after so many changes')
    .action(async (kind, flags) => resources.watch(await contextOf(flags), kind, flags))
}

function addFleetCommands(program: CAC, contextOf: ContextOf): void {
  program
    .command('explain <request>', 'Why a request was decided as it was')
    .example('rackwalk explain instance-0-2e205a8d.mx5y2ssw.1')
    .action(async (request, flags) => explain(await contextOf(flags), request))
  program
    .command('budget <name>', 'Where the tokens of a budget are')
    .action(async (name, flags) => fleet.budget(await contextOf(flags), name))
  program
    .command('usage', 'Usage by team and model')
    .option('--team <team>', 'Only this team')
    .option('--week [date]', 'The week of a date, or this week')
    .example('rackwalk usage --team booking --week 2026-11-30 -o csv')
    .action(async flags => fleet.usage(await contextOf(flags), flags))
  program
    .command('instances', 'Live instances')
    .action(async flags => fleet.instances(await contextOf(flags)))
  program
    .command('addresses', 'What a caller would be told')
    .action(async flags => fleet.addresses(await contextOf(flags)))
  program
    .command('drain <instance>', 'Let an instance take no new requests')
    .action(async (name, flags) => fleet.drain(await contextOf(flags), name))
  program
    .command('status', 'State of the instance that answers')
    .action(async flags => fleet.status(await contextOf(flags)))
  program
    .command('audit', 'Who changed what')
    .option('--from <version>', 'Begin after this version')
    .action(async flags => fleet.audit(await contextOf(flags), flags))
}

/** Adds the commands that act on endpoints. */
function addEndpointCommands(program: CAC, contextOf: ContextOf): void {
  program
    .command('evacuate <domain>', 'Send nothing new to the endpoints of a failure domain')
    .option('--reason <text>', 'Why, for whoever asks later')
    .example('rackwalk evacuate hall-a --reason "new power supply"')
    .action(async (domain, flags) => fleet.evacuate(await contextOf(flags), domain, flags))
  program
    .command('restore <domain>', 'Use the endpoints of a failure domain again')
    .action(async (domain, flags) => fleet.restore(await contextOf(flags), domain))
  program
    .command('crashes', 'Requests under which endpoints ended: suspected, or refused everywhere')
    .action(async flags => fleet.crashes(await contextOf(flags)))
  program
    .command('clear <fingerprint>', 'Send such a request to endpoints again')
    .action(async (fingerprint, flags) =>
      fleet.clearCrashingRequest(await contextOf(flags), fingerprint),
    )
}

async function createContext(
  environment: CommandEnvironment,
  flags: CommonFlags,
): Promise<CommandContext> {
  const token = await readToken(environment, flags.tokenFile)
  const server = flags.server ?? environment.variables['RACKWALK_SERVER'] ?? DEFAULT_SERVER
  return {
    environment,
    connection: new OperatorHttpClient(server, token),
    format: parseOutputFormat(flags.output ?? 'table'),
  }
}

/**
 * Reads the operator's token. It is never taken from the command line, where every user of the
 * machine could read it.
 */
async function readToken(environment: CommandEnvironment, file: string | undefined) {
  const fromFile = file === undefined ? undefined : await environment.readFile(file)
  const token = fromFile?.trim() ?? environment.variables[TOKEN_VARIABLE]
  if (token === undefined || token === '') {
    throw usageError(`no token: set ${TOKEN_VARIABLE} or give --token-file`)
  }
  return token
}

function reportError(environment: CommandEnvironment, thrown: unknown): ExitCode {
  if (thrown instanceof CommandError) {
    if (thrown.message !== '') environment.printError(thrown.message)
    return thrown.exitCode
  }
  const isUsage = thrown instanceof Error && thrown.name === 'CACError'
  environment.printError(thrown instanceof Error ? thrown.message : String(thrown))
  return isUsage ? ExitCode.Usage : ExitCode.Fault
}
