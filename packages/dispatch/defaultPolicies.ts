import type { DispatchPolicies } from './DispatchPolicies';

/** Scheduling policies that apply where the options of the `Dispatcher` give none. */
export const defaultPolicies: DispatchPolicies = {
  placementOrder: 'shares',
  speedChoice: 'endpoints',
  hallChoice: 'together',
  stopChoice: 'ranked',
  turnChoice: 'asked',
};
