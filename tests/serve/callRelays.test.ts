import { afterEach, describe, expect, it } from 'vitest';
import { Cell } from '../../dev/cell/Cell';
import { toJobIdText } from '../../dev/cell/toJobIdText';
import { waitForDelay } from '../../packages/common/waitForDelay';

const JOBS = 40;
const JOB_EVERY_MS = 200;
const TASK_MS = 300;
const TASKS = 6;
const EXECUTORS = 6;
const DISTURBANCES = 4;
const DISTURBANCE_EVERY_MS = 1800;
/** Longer than the silence after which a relay is given up, and shorter than that after which its box is replaced. */
const SUSPENSION_MS = 1500;
const LASTING_ID = toJobIdText(9999);
const END_MS = 40_000;

type CellBox = Cell['boxes'][number];

/** What happens to a box that relays the calls of the leader. */
const DISTURBANCE_HANDLERS: Readonly<Record<string, (cell: Cell, box: CellBox) => Promise<void>>> = {
  'is killed': async (cell, box) => {
    box.process.sendSignal('SIGKILL');
    await waitForDelay(300);
    cell.startBox(box);
  },
  'is suspended': async (_cell, box) => {
    box.process.sendSignal('SIGSTOP');
    await waitForDelay(SUSPENSION_MS);
    box.process.sendSignal('SIGCONT');
  },
  'stops by plan': async (cell, box) => {
    box.process.sendSignal('SIGTERM');
    await cell.startUntil(() => Promise.resolve(!box.process.isAlive()));
    cell.startBox(box);
  },
};

describe('a leader whose calls are relayed by other boxes', () => {
  let cell: Cell;

  afterEach(async () => {
    await cell.stop();
  });

  const sendJobs = async (front: CellBox): Promise<readonly string[]> => {
    const ids = Array.from({ length: JOBS }, (_, index) => toJobIdText(index + 1));
    for (const id of ids) {
      const body = { spec: String(TASK_MS), steps: [{ count: TASKS, cpu: 1000, 'mem-mb': 100 }] };
      expect((await cell.sendJob(front, id, body)).status).toBe(200);
      await waitForDelay(JOB_EVERY_MS);
    }
    return ids;
  };

  const startDisturbances = async (handle: (cell: Cell, box: CellBox) => Promise<void>): Promise<void> => {
    for (let count = 0; count < DISTURBANCES; count += 1) {
      await waitForDelay(DISTURBANCE_EVERY_MS);
      const [leader] = cell.readLeaders();
      const relays = cell.boxes.filter((box) => box !== leader && box !== cell.boxes[0]);
      await handle(cell, relays[count % relays.length]!);
      const restarted = cell.executors[count % EXECUTORS]!.id;
      void cell.startExecutorAgain(restarted, { downMs: 100 });
    }
  };

  for (const [name, handle] of Object.entries(DISTURBANCE_HANDLERS)) {
    it(
      `loses no job and starts no task twice at a time when a relay ${name}`,
      async () => {
        cell = await Cell.create({
          boxes: 4,
          executors: EXECUTORS,
          roomPerExecutor: 8,
          keepsIds: true,
          coresPerBox: 0.02,
        });
        const front = cell.boxes[0]!;
        await cell.startLeader();
        const lasting = {
          spec: 'lasts',
          steps: [{ count: 3, cpu: 1000, 'mem-mb': 100, 'long-running': true }],
        };
        expect((await cell.sendJob(front, LASTING_ID, lasting)).status).toBe(200);
        const [ids] = await Promise.all([sendJobs(front), startDisturbances(handle)]);
        for (const id of ids) {
          await cell.startState(front, id, 'completed');
        }
        await cell.startUntil(() =>
          Promise.resolve(
            [0, 1, 2].every((index) => cell.runChecker.isRunning(`${LASTING_ID}.0.0.${index}`)),
          ),
        );
        expect(cell.runChecker.getViolations()).toEqual([]);
        const outputs = cell.boxes.map(({ process }) => process.readOutput());
        expect(outputs.some((output) => output.includes('"Call relay connected."'))).toBe(true);
      },
      END_MS,
    );
  }
});
