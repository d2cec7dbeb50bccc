/** Entry point that starts the program in the same directory with the code cache from the build. */

import { dirname, join } from 'node:path'
import { compileProgram } from './cachedProgram.js'

const folder = dirname(process.argv[1] ?? '')
compileProgram(join(folder, 'program.js'), join(folder, 'program.cache')).run()
