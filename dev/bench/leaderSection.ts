import { formatColumns } from '../../packages/cli/formatColumns';
import { waitForDelay } from '../../packages/common/waitForDelay';
import { Cell } from '../cell/Cell';
import { toJobIdText } from '../cell/toJobIdText';
import type { BenchSection } from './BenchSection';

interface LeaderCase {
  readonly endpoints: number;
  /** Tasks of one core that an endpoint has room for: a small one builds up a backlog. */
  readonly room: number;
  readonly jobsPerSecond: number;
}

const CASES: readonly LeaderCase[] = [
  { endpoints: 33, room: 16, jobsPerSecond: 15 },
  { endpoints: 120, room: 16, jobsPerSecond: 15 },
  { endpoints: 245, room: 16, jobsPerSecond: 15 },
  { endpoints: 245, room: 16, jobsPerSecond: 45 },
  { endpoints: 245, room: 2, jobsPerSecond: 45 },
];
const BOXES = 3;
const MEASURE_MS = 10_000;
/** Several times the silence after which a leader is replaced. */
const AFTER_KILL_MS = 6000;
const TASK_MS = 800;
const TASKS = 10;

const createBody = (): string => {
  const step = { count: TASKS, cpu: 1000, 'mem-mb': 100, 'estimated-ms': TASK_MS };
  return JSON.stringify({ spec: String(TASK_MS), steps: [step, { ...step, 'depends-on': [0] }] });
};

const measureCase = async (one: LeaderCase): Promise<readonly unknown[]> => {
  const cell = await Cell.create({ boxes: BOXES, executors: one.endpoints, roomPerExecutor: one.room });
  try {
    const leader = await cell.startLeader();
    const front = cell.boxes.find((box) => box !== leader)!;
    const follower = cell.boxes.find((box) => box !== leader && box !== front)!;
    const [leaderBefore, followerBefore] = [leader, follower].map(({ process }) => process.readCpuSeconds());
    const body = createBody();
    const count = (one.jobsPerSecond * MEASURE_MS) / 1000;
    for (let number = 1; number <= count; number += 1) {
      void cell.sendJob(front, toJobIdText(number), body, 'advised').catch(() => undefined);
      await waitForDelay(1000 / one.jobsPerSecond);
    }
    const seconds = MEASURE_MS / 1000;
    const leaderCores = (leader.process.readCpuSeconds() - leaderBefore!) / seconds;
    const followerCores = (follower.process.readCpuSeconds() - followerBefore!) / seconds;
    const starts = cell.runChecker.countAllStarts();
    leader.process.sendSignal('SIGKILL');
    await waitForDelay(AFTER_KILL_MS);
    const replaced = cell.boxes.filter(({ process }) => process.readOutput().includes('leader is silent'));
    return [
      one.endpoints,
      one.room,
      one.jobsPerSecond,
      starts,
      leaderCores.toFixed(3),
      followerCores.toFixed(3),
      replaced.length,
      cell.runChecker.getViolations().length,
    ];
  } finally {
    await cell.stop();
  }
};

/** What leading costs by endpoints and jobs, and whether a backlog upsets it. */
export const leaderSection: BenchSection = {
  name: 'leader',
  about:
    'three real entry processes; jobs of two steps with ten tasks of 0.8 s, with advice; then the leader is killed',
  measure: async () => {
    const lines: (readonly unknown[])[] = [];
    for (const one of CASES) {
      lines.push(await measureCase(one));
    }
    const heads = [
      'endpoints',
      'room',
      'jobs/s',
      'starts',
      'leader cores',
      'follower cores',
      'boxes that missed a leader',
      'problems',
    ];
    return formatColumns(heads, lines);
  },
};
