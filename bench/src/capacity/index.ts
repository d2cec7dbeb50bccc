import { writeFileSync } from 'node:fs'
import { measurePathSlopes } from '../path/index.js'
import { measureGatewaySlopes } from './gatewaySlopes.js'
import { measureSlopes } from './measuredSlopes.js'
import { capacityPage } from './page.js'

/** `npm run capacity`: measures every slope and rewrites docs/CAPACITY.md. */

const PAGE = new URL('../../../docs/CAPACITY.md', import.meta.url)

const slopes = await measureSlopes()
const gateway = await measureGatewaySlopes()
const path = await measurePathSlopes()
writeFileSync(PAGE, capacityPage(slopes, gateway, path))
console.log('docs/CAPACITY.md written')
process.exit(0)
