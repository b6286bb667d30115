import { formatColumns } from '../../packages/cli/formatColumns';
import type { BenchSection } from './BenchSection';
import { LeaderCoreLoad } from './LeaderCoreLoad';

const BOXES = 97;
const FLEETS = [84, 540] as const;
const BACKLOGS = [50, 300, 1000] as const;
const WARM_UP_MS = 3000;
const MEASURED_MS = 3000;

/** Processor time of the leader's decisions by fleet and backlog. */
export const roundsSection: BenchSection = {
  name: 'rounds',
  about: `processor time of the leader's decisions in ms for a simulated second under overload, ${BOXES} boxes, a round each 10 ms`,
  measure: async () => {
    const lines = FLEETS.flatMap((endpoints) =>
      BACKLOGS.map((backlog) => {
        const load = new LeaderCoreLoad({ endpoints, backlog, boxes: BOXES });
        load.runFor(WARM_UP_MS);
        load.clearMeasurements();
        load.runFor(MEASURED_MS);
        const seconds = MEASURED_MS / 1000;
        const partMs = Object.values(load.partMs);
        return [
          endpoints,
          backlog,
          ...[...partMs, partMs.reduce((sum, ms) => sum + ms, 0)].map((ms) => (ms / seconds).toFixed(1)),
          Math.round(load.startCount / seconds),
        ];
      }),
    );
    const heads = ['round', 'tick', 'status', 'advice', 'start', 'job', 'effects', 'all', 'starts/s'];
    return formatColumns(['endpoints', 'waiting', ...heads], lines);
  },
};
