import type { ExplorerCounts } from './ExplorerCounts';

/** Creates counts that are all zero. */
export const createCounts = (): ExplorerCounts => ({
  steps: 0,
  placed: 0,
  refusedByRight: 0,
  views: 0,
  deaths: 0,
  pauses: 0,
  replicas: 0,
  heldUp: 0,
  refusedByToken: 0,
});
