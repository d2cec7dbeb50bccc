/**
 * `npm run lost-links`: replays fleets of which some instances lose their links to all endpoints, and prints
 * first tries served at these instances and at the others. Arguments: `--seed N`, `--instances N,N`,
 * `--staying SHARE` (share of the callers that stay with one instance, whatever the directory says).
 */

import { parseArgs } from 'node:util'
import { LINK_FAULTS, LOST_BY, replayLostLinks } from '@rackwalk/stand-ins'
import type { TryCount } from '@rackwalk/stand-ins'

const { values } = parseArgs({
  options: {
    seed: { type: 'string', default: '65' },
    instances: { type: 'string', default: '8,73,195' },
    staying: { type: 'string', default: '0.2' },
  },
})

const common = { seed: Number(values.seed), stayingShare: Number(values.staying) }

function countText({ sent, served }: TryCount): string {
  return `${served} of ${sent}`
}

for (const instances of values.instances.split(',').map(Number)) {
  for (const lostBy of LOST_BY) {
    for (const fault of LINK_FAULTS) {
      const outcome = await replayLostLinks({ ...common, instances, lostBy, fault })
      const { atCut, atOthers, busiestShare } = outcome
      const row = [instances, lostBy, fault, countText(atCut), countText(atOthers)]
      console.log([...row, busiestShare.toFixed(2)].join(' | '))
    }
  }
}
