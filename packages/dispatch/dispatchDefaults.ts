import type { DispatchWays } from './DispatchWays';

/** The ways of deciding that hold unless others are chosen; docs/design/shifted-work.md has the figures for them. */
export const dispatchDefaults: DispatchWays = {
  placementOrder: 'shares',
  speedChoice: 'endpoints',
  hallChoice: 'together',
  stopChoice: 'ranked',
  turnChoice: 'asked',
};
