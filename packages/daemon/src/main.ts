#!/usr/bin/env node
/** Entry point of `rackwalkd`. */

import { startProgram } from './program.js'

startProgram()
