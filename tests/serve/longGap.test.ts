import { afterEach, describe, expect, it } from 'vitest';
import { Cell } from '../../dev/cell/Cell';
import { toJobIdText } from '../../dev/cell/toJobIdText';

const JOBS = 600;
const SPEC_LETTERS = 3900;
/** The last jobs, which the first response of the log does not hold. */
const ASKED_JOBS = 20;
const TRIES = 200;

describe('a box that was cut off from the log while more was accepted than one read returns', () => {
  let cell: Cell | undefined;

  afterEach(async () => {
    await cell?.stop();
  });

  it('does not answer that an accepted job is gone', async () => {
    cell = await Cell.create({ boxes: 2, executors: 1, roomPerExecutor: 4 });
    const started = cell;
    const leader = await started.startLeader();
    const behind = started.boxes.find((box) => box !== leader)!;
    const step = { count: 1, cpu: 1000, 'mem-mb': 100 };
    started.log.setFault('silent', behind.name);
    const ids = Array.from({ length: JOBS }, (_, index) => toJobIdText(index + 1));
    const body = { spec: '600000'.padEnd(SPEC_LETTERS), steps: [step] };
    const answers = await Promise.all(ids.map((id) => started.sendJob(leader, id, body)));
    const accepted = ids.filter((_, index) => answers[index]!.status === 200);
    expect(accepted.length).toBeGreaterThan(JOBS / 2);
    started.log.setFault('none', behind.name);
    const statuses = await Promise.all(
      accepted.slice(-ASKED_JOBS).map(async (id) => {
        for (let attempt = 0; attempt < TRIES; attempt += 1) {
          const { status } = await started.cancelJob(behind, id);
          if (status !== 503) {
            return status;
          }
        }
        return undefined;
      }),
    );
    expect(new Set(statuses)).toEqual(new Set([200]));
  });
});
