/** Entry point that starts the program beside it with the code cache that the build left. */

import { dirname, join } from 'node:path'
import { compileProgram } from './cachedProgram.js'

const folder = dirname(process.argv[1] ?? '')
compileProgram(join(folder, 'program.js'), join(folder, 'program.cache')).run()
