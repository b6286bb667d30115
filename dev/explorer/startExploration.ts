import { createRandom } from '../../packages/common/createRandom';
import type { OwnershipRules } from '../../packages/ownership/OwnershipRules';
import { createCounts } from './createCounts';
import type { ExplorerCounts } from './ExplorerCounts';
import type { ExplorerRun } from './ExplorerRun';
import { ExplorerWorld } from './ExplorerWorld';

interface ExplorationOptions {
  readonly rules: OwnershipRules;
  readonly firstSeed: number;
  readonly runs: number;
  readonly stepsPerRun: number;
  /** Orders leave in a step of their own after their check; the worker refuses lower tokens, or guards nothing. */
  readonly heldOrders?: 'guarded' | 'unguarded';
}

const LARGE = 1_000_000;

const toSum = (left: ExplorerCounts, right: ExplorerCounts): ExplorerCounts => ({
  steps: left.steps + right.steps,
  placed: left.placed + right.placed,
  refusedByRight: left.refusedByRight + right.refusedByRight,
  views: left.views + right.views,
  deaths: left.deaths + right.deaths,
  pauses: left.pauses + right.pauses,
  replicas: left.replicas + right.replicas,
  heldUp: left.heldUp + right.heldUp,
  refusedByToken: left.refusedByToken + right.refusedByToken,
});

/** Explores random runs from fixed seeds, one after the other, until one is broken. */
export const startExploration = (options: ExplorationOptions): ExplorerRun => {
  let counts = createCounts();
  for (let seed = options.firstSeed; seed < options.firstSeed + options.runs; seed += 1) {
    const random = createRandom(seed);
    const { rules, heldOrders } = options;
    const world = new ExplorerWorld({ rules, seed, heldOrders });
    for (let step = 0; step < options.stepsPerRun; step += 1) {
      const toNumber = () => Math.floor(random() * LARGE);
      const what = world.applyStep({ action: toNumber(), left: toNumber(), right: toNumber() });
      if (what !== undefined) {
        return { counts: toSum(counts, world.counts), failure: { seed, step, what } };
      }
    }
    counts = toSum(counts, world.counts);
  }
  return { counts, failure: undefined };
};
