import { build } from 'hdr-histogram-js';
import { formatColumns } from '../../packages/cli/formatColumns';
import { createRandom } from '../../packages/common/createRandom';
import type { RequestId } from '../../packages/common/RequestId';
import { toId } from '../../packages/common/toId';
import type { PolicyName } from '../../packages/scheduler/PolicyName';
import { Scheduler } from '../../packages/scheduler/Scheduler';
import type { SchedulerRequest } from '../../packages/scheduler/SchedulerRequest';
import type { BenchSection } from './BenchSection';
import { createWorkerViews } from './createWorkerViews';
import { deployments } from '../traces/deployments';

interface Case {
  readonly workers: number;
  readonly tasks: number;
}

interface Speed {
  readonly perSecond: number;
  readonly p99Micros: number;
}

const CASES: readonly Case[] = [
  { workers: 33, tasks: 64 },
  { workers: 33, tasks: 640 },
  { workers: 33, tasks: 16_000 },
  { workers: 14_000, tasks: 64 },
  { workers: 14_000, tasks: 640 },
  { workers: 14_000, tasks: 16_000 },
];
const ROUNDS = 20_000;
const SCAN_ROUNDS = 2000;
const NANOS_PER_MICRO = 1000;

const createRequest = (number: number, now: number): SchedulerRequest => ({
  id: toId<RequestId>(`q${number}`),
  row: toId('plan-refresh'),
  team: toId('clinicians'),
  arrivedAt: now,
  deadlineAt: now + 3_600_000,
});

/** Measures pairs of one request and one finish with a number of tasks on the books, running or waiting. */
const measureSpeed = (policy: PolicyName, { workers, tasks }: Case, rounds: number): Speed => {
  const scheduler = new Scheduler({ policy, random: createRandom(1), shareIndex: 0, shareCount: 1 });
  const rows = deployments.almaty.rows.map((row) => ({ ...row, maxQueued: 100_000 }));
  scheduler.handle({ kind: 'table', rows, teams: [] }, 0);
  scheduler.handle({ kind: 'workers', workers: createWorkerViews(workers, deployments.almaty.capacity) }, 0);
  const running: RequestId[] = [];
  let number = 0;
  const placeOne = (now: number) => {
    number += 1;
    for (const effect of scheduler.handle({ kind: 'request', request: createRequest(number, now) }, now)) {
      if (effect.kind === 'place') {
        running.push(effect.id);
      }
    }
  };
  for (let task = 0; task < tasks; task += 1) {
    placeOne(0);
  }
  const histogram = build({ useWebAssembly: false, bitBucketSize: 64, numberOfSignificantValueDigits: 2 });
  let placements = 0;
  const startedAt = process.hrtime.bigint();
  for (let round = 0; round < rounds; round += 1) {
    const before = process.hrtime.bigint();
    const done = running.shift();
    const placedBefore = running.length;
    if (done !== undefined) {
      for (const effect of scheduler.handle({ kind: 'finish', id: done }, round)) {
        if (effect.kind === 'place') {
          running.push(effect.id);
        }
      }
    }
    placeOne(round);
    placements += running.length - placedBefore;
    histogram.recordValue(Number(process.hrtime.bigint() - before));
  }
  const seconds = Number(process.hrtime.bigint() - startedAt) / 1e9;
  return { perSecond: placements / seconds, p99Micros: histogram.getValueAtPercentile(99) / NANOS_PER_MICRO };
};

/** Speed of decisions against the number of workers and tasks, and against a search that looks at every worker. */
export const decisionSection: BenchSection = {
  name: 'decisions',
  about: 'one finish and one request with N tasks on the books (running or waiting), one core',
  measure: async () => {
    const lines = CASES.map((one) => {
      measureSpeed('stairline', one, SCAN_ROUNDS);
      const fast = measureSpeed('stairline', one, ROUNDS);
      const scan = measureSpeed('naive-scan', one, SCAN_ROUNDS);
      return [
        one.workers,
        one.tasks,
        Math.round(fast.perSecond),
        fast.p99Micros.toFixed(1),
        (fast.perSecond / scan.perSecond).toFixed(1),
      ];
    });
    return formatColumns(['workers', 'tasks', 'placements/s', 'p99 µs', 'times the naive scan'], lines);
  },
};
