import { turnChoices } from '../dispatch/advice/turnChoices';
import { dispatchDefaults } from '../dispatch/dispatchDefaults';
import { hallChoices } from '../dispatch/placing/hallChoices';
import { speedChoices } from '../dispatch/placing/speedChoices';
import { stopChoices } from '../dispatch/stops/stopChoices';
import { placementOrders } from '../dispatch/waiting/placementOrders';
import { doors } from '../load/doors';
import { configurationSources } from '../serve/configurationSources';
import { jobWritings } from '../serve/jobWritings';
import type { ServeWays } from '../serve/ServeWays';
import type { WayOption } from './WayOption';

/** The options of `stairline serve` that choose a way, by the setting that they set. */
export const wayOptions: { readonly [Way in keyof ServeWays]: WayOption<ServeWays[Way]> } = {
  configurationSource: {
    name: 'configuration',
    table: configurationSources,
    defaultChoice: 'boxes',
    help: 'where new versions of the configuration come from while the log is out: the log alone, or other boxes',
  },
  jobWriting: {
    name: 'writing',
    table: jobWritings,
    defaultChoice: 'leader',
    help: 'who appends accepted jobs to the log: own, or the leader',
  },
  door: {
    name: 'door',
    table: doors,
    defaultChoice: 'open',
    help: 'whether jobs are refused for load: never, never but told of, or truthfully when they are hopeless',
  },
  placementOrder: {
    name: 'order',
    table: placementOrders,
    defaultChoice: dispatchDefaults.placementOrder,
    help: 'order of placement within a priority',
  },
  speedChoice: {
    name: 'speeds',
    table: speedChoices,
    defaultChoice: dispatchDefaults.speedChoice,
    help: 'how the speed of endpoints counts',
  },
  hallChoice: {
    name: 'halls',
    table: hallChoices,
    defaultChoice: dispatchDefaults.hallChoice,
    help: 'over which halls the tasks of a job go',
  },
  turnChoice: {
    name: 'turns',
    table: turnChoices,
    defaultChoice: dispatchDefaults.turnChoice,
    help: 'when turns at the advice service are taken',
  },
  stopChoice: {
    name: 'stops',
    table: stopChoices,
    defaultChoice: dispatchDefaults.stopChoice,
    help: 'what is stopped for more urgent work, or moved',
  },
};
