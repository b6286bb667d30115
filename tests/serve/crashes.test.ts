import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { Cell } from '../../dev/cell/Cell';
import { toJobIdText } from '../../dev/cell/toJobIdText';

/** Two crashes are borne, a third that was shared with others, and two starts more. */
const MAX_STARTS = 5;
const HARMFUL = toJobIdText(1);
const SOUND_COUNT = 12;

const createBody = (spec: string, count: number): string =>
  JSON.stringify({ spec, steps: [{ count, cpu: 1000, 'mem-mb': 100 }] });

describe.each([
  ['under new ids', false],
  ['under the same ids', true],
])(
  'a task that ends the endpoints it runs on, which come back %s, with real processes',
  (_name, keepsIds) => {
    let cell: Cell;

    beforeEach(async () => {
      cell = await Cell.create({ boxes: 3, executors: 6, roomPerExecutor: 4, keepsIds });
    });

    afterEach(async () => {
      expect(cell.runChecker.getViolations()).toEqual([]);
      await cell.stop();
    });

    /** Submits the harmful job among sound ones. */
    const sendJobs = async (): Promise<readonly string[]> => {
      const box = cell.boxes[0]!;
      const sound = Array.from({ length: SOUND_COUNT }, (_, index) => toJobIdText(index + 2));
      expect((await cell.sendJob(box, HARMFUL, createBody('crashes', 1))).status).toBe(200);
      for (const id of sound) {
        expect((await cell.sendJob(box, id, createBody('300', 2))).status).toBe(200);
      }
      return sound;
    };

    const checkOutcome = async (sound: readonly string[]): Promise<void> => {
      const box = cell.boxes.find(({ process }) => process.isAlive())!;
      await cell.startState(box, HARMFUL, 'failed', 30_000);
      await Promise.all(sound.map((id) => cell.startState(box, id, 'completed', 30_000)));
      expect(cell.runChecker.countStarts(`${HARMFUL}.0.0.0`)).toBeLessThanOrEqual(MAX_STARTS);
      expect(cell.crashCount).toBe(cell.runChecker.countStarts(`${HARMFUL}.0.0.0`));
    };

    it('is given up, and what ran beside it is done', async () => {
      await checkOutcome(await sendJobs());
      const output = cell.boxes.map(({ process }) => process.readOutput()).join('');
      expect(output).toContain('Task is given up: endpoints ended under it.');
      expect(output).toContain('"cause":"lifeOver"');
      const leader = await cell.startLeader();
      expect(await cell.readMetrics(leader)).toContain('stairline_tasks_given_up_total 1\n');
    });

    it('is given up also where the leader is killed after each crash', async () => {
      const sound = await sendJobs();
      for (let crashes = 1; crashes <= 2; crashes += 1) {
        await cell.startUntil(() => Promise.resolve(cell.crashCount >= crashes));
        const leader = await cell.startLeader();
        leader.process.sendSignal('SIGKILL');
        await leader.process.exit;
        cell.startBox(leader);
        await cell.startReady(leader);
      }
      await checkOutcome(sound);
    });
  },
);
