import { advicePolicies } from '../dispatch/advice/advicePolicies';
import { defaultPolicies } from '../dispatch/defaultPolicies';
import { hallPolicies } from '../dispatch/placing/hallPolicies';
import { speedPolicies } from '../dispatch/placing/speedPolicies';
import { stopPolicies } from '../dispatch/stops/stopPolicies';
import { placementOrders } from '../dispatch/waiting/placementOrders';
import { admissionModes } from '../load/admissionModes';
import { configurationSources } from '../serve/configurationSources';
import { jobWritePolicies } from '../serve/jobWritePolicies';
import type { ServePolicies } from '../serve/ServePolicies';
import type { PolicyOption } from './PolicyOption';

/** Policy options of `stairline serve`, by the setting that they set. */
export const policyOptions: {
  readonly [Setting in keyof ServePolicies]: PolicyOption<ServePolicies[Setting]>;
} = {
  configurationSource: {
    name: 'configuration',
    choices: configurationSources,
    defaultChoice: 'boxes',
    help: 'source of new versions of the configuration while the log is unavailable: the log alone, or other boxes too',
  },
  jobWriting: {
    name: 'writing',
    choices: jobWritePolicies,
    defaultChoice: 'leader',
    help: 'box that appends accepted jobs to the log: the one that accepted them, or the leader',
  },
  door: {
    name: 'door',
    choices: admissionModes,
    defaultChoice: 'open',
    help: 'refusal of jobs by load: never, never with the load published, or when they cannot be of use in time',
  },
  placementOrder: {
    name: 'order',
    choices: placementOrders,
    defaultChoice: defaultPolicies.placementOrder,
    help: 'order of placement within a priority',
  },
  speedChoice: {
    name: 'speeds',
    choices: speedPolicies,
    defaultChoice: defaultPolicies.speedChoice,
    help: 'use of the speed of endpoints in placement',
  },
  hallChoice: {
    name: 'halls',
    choices: hallPolicies,
    defaultChoice: defaultPolicies.hallChoice,
    help: 'distribution of the tasks of a job over halls',
  },
  turnChoice: {
    name: 'turns',
    choices: advicePolicies,
    defaultChoice: defaultPolicies.turnChoice,
    help: 'timing and size of requests to the advice service',
  },
  stopChoice: {
    name: 'stops',
    choices: stopPolicies,
    defaultChoice: defaultPolicies.stopChoice,
    help: 'choice of runs to preempt, evict or move',
  },
};
