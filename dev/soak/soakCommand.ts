import type { Command } from '../../packages/cli/Command';
import { exitCodes } from '../../packages/cli/exitCodes';
import { writeError } from '../../packages/cli/writeError';
import { writeLine } from '../../packages/cli/writeLine';
import { startExitOnSignal } from '../startExitOnSignal';
import { readKeptSoak } from './readKeptSoak';
import type { SoakPlan } from './SoakPlan';
import { startSoak } from './startSoak';

const MS_PER_S = 1000;

const listPlans = (values: Parameters<Command['run']>[0]['values']): readonly SoakPlan[] => {
  const first = Number(values['seed'] ?? 1);
  return Array.from({ length: Number(values['runs'] ?? 1) }, (_, index) => ({
    seed: first + index,
    boxes: Number(values['boxes'] ?? 3),
    executors: Number(values['endpoints'] ?? 6),
    troubledMs: Number(values['seconds'] ?? 20) * MS_PER_S,
    ...(values['cores'] === undefined ? {} : { coresPerBox: Number(values['cores']) }),
  }));
};

/** `dev soak`: real processes under overlapping troubles, seed by seed. */
export const soakCommand: Command = {
  name: 'soak',
  summary: 'Run real processes under overlapping troubles; stop at the first broken promise.',
  usage:
    '[--seed N] [--runs N] [--seconds S] [--boxes N] [--endpoints N] [--cores N] [--keep DIR] [--replay FILE]',
  options: {
    seed: { type: 'string', help: 'first seed (1)' },
    runs: { type: 'string', help: 'number of runs, one seed each (1)' },
    seconds: { type: 'string', help: 'seconds with troubles in each run (20)' },
    boxes: { type: 'string', help: 'entry processes (3)' },
    endpoints: { type: 'string', help: 'endpoints (6)' },
    cores: {
      type: 'string',
      help: 'cores that a box declares (1); with 0.02 calls to endpoints are relayed',
    },
    keep: { type: 'string', help: 'directory for the logs of a failed run' },
    replay: { type: 'string', help: 'plays the troubles of a failed run again: its problems.json' },
  },
  run: async ({ values }) => {
    const { keep, replay } = values;
    const kept = typeof replay === 'string' ? readKeptSoak(replay) : undefined;
    if (kept?.ok === false) {
      writeError(`${String(replay)}: ${kept.error}`);
      return exitCodes.usage;
    }
    startExitOnSignal();
    for (const plan of kept === undefined ? listPlans(values) : [kept.value]) {
      const keptLogs = typeof keep === 'string' ? { keptLogs: `${keep}/seed-${plan.seed}` } : {};
      const result = await startSoak({ ...plan, ...keptLogs });
      writeLine(JSON.stringify({ seed: plan.seed, ...result }));
      if (result.problems.length > 0) {
        return exitCodes.failed;
      }
    }
    return exitCodes.done;
  },
};
