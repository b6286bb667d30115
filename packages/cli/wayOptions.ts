import { advicePolicies } from '../dispatch/advice/advicePolicies';
import { defaultPolicies } from '../dispatch/defaultPolicies';
import { hallPolicies } from '../dispatch/placing/hallPolicies';
import { speedPolicies } from '../dispatch/placing/speedPolicies';
import { stopPolicies } from '../dispatch/stops/stopPolicies';
import { placementOrders } from '../dispatch/waiting/placementOrders';
import { admissionModes } from '../load/admissionModes';
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
    table: admissionModes,
    defaultChoice: 'open',
    help: 'whether jobs are refused for load: never, never but told of, or truthfully when they are hopeless',
  },
  placementOrder: {
    name: 'order',
    table: placementOrders,
    defaultChoice: defaultPolicies.placementOrder,
    help: 'order of placement within a priority',
  },
  speedChoice: {
    name: 'speeds',
    table: speedPolicies,
    defaultChoice: defaultPolicies.speedChoice,
    help: 'how the speed of endpoints counts',
  },
  hallChoice: {
    name: 'halls',
    table: hallPolicies,
    defaultChoice: defaultPolicies.hallChoice,
    help: 'over which halls the tasks of a job go',
  },
  turnChoice: {
    name: 'turns',
    table: advicePolicies,
    defaultChoice: defaultPolicies.turnChoice,
    help: 'when turns at the advice service are taken',
  },
  stopChoice: {
    name: 'stops',
    table: stopPolicies,
    defaultChoice: defaultPolicies.stopChoice,
    help: 'what is stopped for more urgent work, or moved',
  },
};
