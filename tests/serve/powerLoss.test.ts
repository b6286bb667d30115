import { afterEach, describe, expect, it } from 'vitest';
import { waitForDelay } from '../../packages/common/waitForDelay';
import { Cell } from '../../dev/cell/Cell';
import { toJobIdText } from '../../dev/cell/toJobIdText';

const BOXES = 3;
const JOBS = 60;
/** Time in which every box answers for every accepted job. */
const KNOWN_MS = 14_000;
/** Time in which a lasting task runs again while there is room for it. */
const RUNNING_AGAIN_MS = 9000;
/** After it the leases of all runs have ended. */
const LAPSED_MS = 5000;
const LATE_MS = 700;
const STEP = { count: 1, cpu: 1000, 'mem-mb': 100 };
const LASTING_ONE = { spec: 'lasts', steps: [{ ...STEP, 'long-running': true }] };
const LASTING = { spec: 'lasts', steps: [{ ...STEP, count: 3, 'long-running': true }] };

describe('a loss of power of all boxes at the same moment', () => {
  let cell: Cell | undefined;

  afterEach(async () => {
    await cell?.stop();
  });

  const createCell = async (): Promise<Cell> => {
    cell = await Cell.create({ boxes: BOXES, executors: 4, roomPerExecutor: 4, keepsIds: true });
    return cell;
  };

  /** Ends all boxes at once, and starts them again after a time in milliseconds. */
  const startAgain = async (started: Cell, downMs = 0): Promise<void> => {
    const { boxes } = started;
    boxes.forEach(({ process }) => process.sendSignal('SIGKILL'));
    await Promise.all(boxes.map(({ process }) => process.exit));
    await waitForDelay(downMs);
    boxes.forEach((box) => started.startBox(box));
  };

  /** Sends jobs through all boxes, and returns the ids of the accepted ones as soon as the last is. */
  const sendJobs = async (started: Cell, queue: string): Promise<readonly string[]> => {
    const ids = Array.from({ length: JOBS }, (_, index) => toJobIdText(index + 1));
    const answers = ids.map((id, index) =>
      started.sendJob(started.boxes[index % BOXES]!, id, { spec: '300', steps: [STEP] }, queue),
    );
    const statuses = await Promise.all(answers);
    return ids.filter((_, index) => statuses[index]!.status === 200);
  };

  /** Reads a job at a box until the box answers, for a limited time. */
  const readStatus = async (
    started: Cell,
    box: Cell['boxes'][number],
    id: string,
    queue: string,
  ): Promise<number | undefined> => {
    let status: number | undefined;
    await started.startUntil(async () => {
      status = (await started.readState(box, id, queue).catch(() => undefined))?.status;
      return status === 200 || status === 410;
    }, KNOWN_MS);
    return status;
  };

  const expectAllKnown = async (started: Cell, ids: readonly string[], queue: string): Promise<void> => {
    const reads = started.boxes.flatMap((box) => ids.map((id) => readStatus(started, box, id, queue)));
    const statuses = await Promise.all(reads);
    expect(new Set(statuses)).toEqual(new Set([200]));
  };

  it('loses no job that was accepted right before it, and every box knows each', async () => {
    const started = await createCell();
    await started.startLeader();
    const ids = await sendJobs(started, 'jobs');
    await startAgain(started);
    expect(ids.length).toBe(JOBS);
    await expectAllKnown(started, ids, 'jobs');
    await Promise.all(ids.map((id) => started.startState(started.boxes[0]!, id, 'completed', 40_000)));
    expect(started.runChecker.getViolations()).toEqual([]);
  });

  it('loses no job while the configuration changes', async () => {
    const started = await createCell();
    const ids = await sendJobs(started, 'urgent');
    started.writeConfiguration(5, ['next']);
    await startAgain(started);
    await expectAllKnown(started, ids, 'urgent');
  });

  it.each([0, 1, 2])(
    'leaves a lasting task to run again when its endpoint is lost with the boxes, and box %i returns late',
    async (lateIndex) => {
      const started = await createCell();
      const leader = await started.startLeader();
      const lasting = toJobIdText(0xabc);
      await started.sendJob(started.boxes[0]!, lasting, LASTING_ONE, 'advised');
      const task = `${lasting}.0.0.0`;
      const isRunning = (): Promise<boolean> => Promise.resolve(started.runChecker.isRunning(task));
      await started.startUntil(isRunning);
      const endpoint = started.executors.find(({ standin }) => standin.countRuns() > 0)!;
      const late = lateIndex === 0 ? leader : started.boxes.filter((box) => box !== leader)[lateIndex - 1]!;
      started.boxes.forEach(({ process }) => process.sendSignal('SIGKILL'));
      await Promise.all(started.boxes.map(({ process }) => process.exit));
      // No record names the lost endpoint when the boxes return.
      await started.startExecutorReplacement(endpoint.id, 0);
      started.boxes.filter((box) => box !== late).forEach((box) => started.startBox(box));
      await waitForDelay(LATE_MS);
      started.startBox(late);
      await started.startUntil(isRunning, RUNNING_AGAIN_MS);
      expect(started.runChecker.getViolations()).toEqual([]);
    },
  );

  it('leaves lasting tasks to run again beside more urgent jobs, also after the log has dropped its history', async () => {
    const started = await createCell();
    const lasting = toJobIdText(0xabc);
    await started.sendJob(started.boxes[0]!, lasting, LASTING, 'advised');
    const tasks = [0, 1, 2].map((index) => `${lasting}.0.0.${index}`);
    const isRunning = (): Promise<boolean> =>
      Promise.resolve(tasks.every((task) => started.runChecker.isRunning(task)));
    await started.startUntil(isRunning);
    await sendJobs(started, 'urgent');
    await startAgain(started, LAPSED_MS);
    expect(await isRunning()).toBe(false);
    started.runCompaction();
    await Promise.all(started.boxes.map((box) => started.startReady(box)));
    await started.startUntil(isRunning, RUNNING_AGAIN_MS);
    await expectAllKnown(started, [lasting], 'advised');
    expect(started.runChecker.getViolations()).toEqual([]);
  });
});
