import { afterEach, describe, expect, it } from 'vitest';
import { waitForDelay } from '../../packages/common/waitForDelay';
import { Cell } from '../../dev/cell/Cell';
import { toJobIdText } from '../../dev/cell/toJobIdText';

/** Time that the record of the resignation takes, in which the leader is about to stop. */
const APPEND_MS = 400;
const SETTLED_MS = 1500;

describe('a leader that resigns', () => {
  let cell: Cell | undefined;

  afterEach(async () => {
    await cell?.stop();
  });

  it('does not take over again when an endpoint registers meanwhile, or jobs that are done would run again', async () => {
    cell = await Cell.create({ boxes: 2, executors: 2, roomPerExecutor: 4 });
    const started = cell;
    const leader = await started.startLeader();
    const id = toJobIdText(1);
    const steps = [{ count: 2, cpu: 1000, 'mem-mb': 100 }];
    await started.sendJob(leader, id, { spec: '50', steps });
    await started.startState(leader, id, 'completed');
    started.log.setLatency(APPEND_MS);
    await waitForDelay(SETTLED_MS);
    leader.process.sendSignal('SIGTERM');
    await waitForDelay(APPEND_MS / 4);
    const [endpoint] = started.executors;
    started.writeExecutor(endpoint!.id, endpoint!.address, 'draining', SETTLED_MS);
    await leader.process.exit;
    expect(leader.process.readOutput().split('"Leading."').length - 1).toBe(1);
    expect(started.runChecker.countStarts(`${id}.0.0.0`)).toBe(1);
    expect(started.runChecker.getViolations()).toEqual([]);
  });
});
