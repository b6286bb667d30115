import { formatColumns } from '../../packages/cli/formatColumns';
import { measureReplay } from '../../packages/replay/measureReplay';
import type { PolicyName } from '../../packages/scheduler/PolicyName';
import { createTrace } from '../traces/createTrace';
import { deployments } from '../traces/deployments';
import type { TraceShape } from '../traces/TraceShape';
import type { BenchSection } from './BenchSection';

const FACTORS = [1, 2, 5] as const;
const LENGTH_MS = 60_000;
/** Requests a second that fill all slots of Almaty: 264 slots, 0.4 s each. */
const FULL_RATE = 660;
const COME_BACKS = 2;
const POLICIES: readonly PolicyName[] = ['stairline', 'least-loaded'];

const createShape = (factor: number): TraceShape => {
  const rate = FULL_RATE * factor;
  const arrival = { row: 'plan-refresh', meanRunMs: 400, deadlineMs: 3000 };
  return {
    name: `${factor}x`,
    about: 'overload',
    seed: 31,
    lengthMs: LENGTH_MS,
    entries: 1,
    ...deployments.almaty,
    arrivals: [{ ...arrival, ratePerSecond: () => rate, maxRatePerSecond: rate }],
  };
};

/** Requests answered in time under too much load, with callers that come back twice. */
export const overloadSection: BenchSection = {
  name: 'overload',
  about: 'plan-refresh at 1, 2 and 5 times all slots, callers come back twice after their Retry-After',
  measure: async () => {
    const lines: (readonly unknown[])[] = [];
    for (const policy of POLICIES) {
      let base = 0;
      for (const factor of FACTORS) {
        const result = measureReplay(createTrace(createShape(factor)), policy, { comeBacks: COME_BACKS });
        const good = result.rows.reduce((sum, row) => sum + row.good, 0);
        const late = result.rows.reduce((sum, row) => sum + row.late, 0);
        base = factor === 1 ? good : base;
        const perSecond = (good * 1000) / LENGTH_MS;
        lines.push([
          policy,
          `${factor}x`,
          perSecond.toFixed(1),
          (good / base).toFixed(3),
          late,
          result.refusals,
          result.events,
        ]);
      }
    }
    return formatColumns(['policy', 'offered', 'in time/s', 'of 1x', 'late', 'refusals', 'events'], lines);
  },
};
