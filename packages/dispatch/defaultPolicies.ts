import type { DispatchPolicies } from './DispatchPolicies';

/** The ways of deciding that hold unless others are chosen; docs/design/shifted-work.md has the figures for them. */
export const defaultPolicies: DispatchPolicies = {
  placementOrder: 'shares',
  speedChoice: 'endpoints',
  hallChoice: 'together',
  stopChoice: 'ranked',
  turnChoice: 'asked',
};
