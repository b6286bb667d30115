import type { Command } from '../../packages/cli/Command';
import { exitCodes } from '../../packages/cli/exitCodes';
import { writeLine } from '../../packages/cli/writeLine';
import { startSoak } from './startSoak';

const MS_PER_S = 1000;

/** `dev soak`: real processes under overlapping troubles, seed by seed. */
export const soakCommand: Command = {
  name: 'soak',
  summary: 'Run real processes under overlapping troubles; stop at the first broken promise.',
  usage: '[--seed N] [--runs N] [--seconds S] [--boxes N] [--endpoints N] [--keep DIR]',
  options: {
    seed: { type: 'string', help: 'first seed (1)' },
    runs: { type: 'string', help: 'number of runs, one seed each (1)' },
    seconds: { type: 'string', help: 'seconds with troubles in each run (20)' },
    boxes: { type: 'string', help: 'entry processes (3)' },
    endpoints: { type: 'string', help: 'endpoints (6)' },
    keep: { type: 'string', help: 'directory for the logs of a failed run' },
  },
  run: async ({ values }) => {
    const first = Number(values['seed'] ?? 1);
    const runs = Number(values['runs'] ?? 1);
    const keep = values['keep'];
    for (let seed = first; seed < first + runs; seed += 1) {
      const result = await startSoak({
        seed,
        boxes: Number(values['boxes'] ?? 3),
        executors: Number(values['endpoints'] ?? 6),
        troubledMs: Number(values['seconds'] ?? 20) * MS_PER_S,
        ...(typeof keep === 'string' ? { keptLogs: `${keep}/seed-${seed}` } : {}),
      });
      writeLine(JSON.stringify({ seed, ...result }));
      if (result.problems.length > 0) {
        return exitCodes.failed;
      }
    }
    return exitCodes.done;
  },
};
