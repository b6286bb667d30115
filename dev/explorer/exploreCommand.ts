import type { Command } from '../../packages/cli/Command';
import { exitCodes } from '../../packages/cli/exitCodes';
import { writeLine } from '../../packages/cli/writeLine';
import { standardRules } from '../../packages/ownership/standardRules';
import { mutations } from './mutations';
import { startExploration } from './startExploration';

/** `dev explore`: a long random exploration of the ownership rules. */
export const exploreCommand: Command = {
  name: 'explore',
  summary: 'Explore the ownership rules at random; stop at the first overfill or doubled replica.',
  usage: '[--runs N] [--steps N] [--seed N] [--mutation NAME] [--held-orders guarded|unguarded]',
  options: {
    runs: { type: 'string', help: 'number of runs (2000)' },
    steps: { type: 'string', help: 'steps per run (1000)' },
    seed: { type: 'string', help: 'first seed (1)' },
    'held-orders': { type: 'string', help: 'orders leave in a step of their own: guarded, or unguarded' },
    mutation: { type: 'string', help: `a rule made wrong: ${Object.keys(mutations).join(', ')}` },
  },
  run: async ({ values }) => {
    const heldOrders = values['held-orders'] as 'guarded' | 'unguarded' | undefined;
    const mutation = mutations[String(values['mutation'])];
    const { counts, failure } = startExploration({
      rules: { ...standardRules, ...mutation },
      ...(heldOrders === undefined ? {} : { heldOrders }),
      firstSeed: Number(values['seed'] ?? 1),
      runs: Number(values['runs'] ?? 2000),
      stepsPerRun: Number(values['steps'] ?? 1000),
    });
    writeLine(JSON.stringify(counts));
    if (failure === undefined) {
      writeLine('No overfill and no doubled replica.');
      return exitCodes.done;
    }
    writeLine(`Broken with seed ${failure.seed} at step ${failure.step}: ${failure.what}`);
    return exitCodes.failed;
  },
};
