import type { DispatchPolicies } from './DispatchPolicies';

/** Policies that apply unless others are configured. */
export const defaultPolicies: DispatchPolicies = {
  placementOrder: 'shares',
  speedChoice: 'endpoints',
  hallChoice: 'together',
  stopChoice: 'ranked',
  turnChoice: 'asked',
};
