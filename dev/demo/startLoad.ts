import type { Random } from '../../packages/common/Random';
import { waitForDelay } from '../../packages/common/waitForDelay';
import type { Fleet } from '../fleet/Fleet';
import type { DemoTally } from './DemoTally';

interface LoadOptions {
  readonly fleet: Fleet;
  readonly tally: DemoTally;
  readonly random: Random;
  /** Boxes that callers use, as the platform's balancer would choose them: asked at every request. */
  readonly readTargets: () => readonly string[];
  readonly durationMs: number;
}

interface LoadRow {
  readonly row: string;
  readonly perSecond: number;
  readonly runMs: number;
}

const ROWS: readonly LoadRow[] = [
  { row: 'plan-refresh', perSecond: 60, runMs: 50 },
  { row: 'tile-proof', perSecond: 40, runMs: 70 },
  { row: 'course-build', perSecond: 6, runMs: 300 },
  { row: 'video-render', perSecond: 8, runMs: 800 },
  { row: 'sheet-stitch', perSecond: 4, runMs: 700 },
];

/** Sends a mixed load of all rows and resolves when every request has its answer. */
export const startLoad = async (options: LoadOptions): Promise<void> => {
  const { fleet, tally, random, readTargets } = options;
  const until = performance.now() + options.durationMs;
  const open: Promise<void>[] = [];
  const sendOne = async ({ row, runMs }: LoadRow, number: number) => {
    const targets = readTargets();
    const box = targets[Math.floor(random() * targets.length)] ?? '';
    const headers = {
      'x-run-ms': String(Math.round(runMs * (0.7 + 0.6 * random()))),
      'idempotency-key': `${row}-${number}`,
    };
    tally.recordResult(row, await fleet.sendCall(box, row, { headers, body: `${row} ${number}` }));
  };
  const sendRow = async (load: LoadRow) => {
    for (let number = 0; performance.now() < until; number += 1) {
      open.push(sendOne(load, number));
      await waitForDelay((-Math.log(1 - random()) * 1000) / load.perSecond);
    }
  };
  await Promise.all(ROWS.map(sendRow));
  await Promise.all(open);
};
