import { describe, expect, it } from 'vitest';
import { toId } from '../packages/common/toId';
import { Dispatcher } from '../packages/dispatch/Dispatcher';
import type { EndpointIncarnation } from '../packages/jobs/EndpointIncarnation';
import { JobProgress } from '../packages/jobs/JobProgress';
import { toTaskName } from '../packages/jobs/toTaskName';
import { createJobDefinition } from './helpers/createJobDefinition';
import { createProfile } from './helpers/createProfile';
import { createStep } from './helpers/createStep';

const TASK = { repetition: 0, step: 0, index: 0 };
const LOST = toId<EndpointIncarnation>('i-0');
const SOUND = toId<EndpointIncarnation>('i-1');
const TICK_MS = 100;
/** Longest time for which leases of earlier leaders may be valid. */
const EARLIER_LEASES_MS = 12_400;
/** Time from the sending of a lease until it has expired by any clock. */
const LEASE_MS = 4370;

describe('a lasting task that an earlier leader placed on an endpoint that is lost after the takeover', () => {
  /** Returns the time until the task starts on a sound endpoint; the lost one responds at `heardAt`, if at all. */
  const computeRestartMs = (heardAt: number | undefined): number => {
    const definition = createJobDefinition(1, [createStep({ count: 1, isLongRunning: true })]);
    const progress = new JobProgress(definition);
    progress.recordRunPlaced(TASK, 1, LOST);
    const dispatcher = new Dispatcher({
      getDefinition: () => definition,
      earlierLeasesEndAt: EARLIER_LEASES_MS,
    });
    [LOST, SOUND].forEach((id) => dispatcher.handleEndpointProfile(createProfile(id)));
    dispatcher.handleJob(definition, progress, 0);
    for (let now = 0; now < 2 * EARLIER_LEASES_MS; now += TICK_MS) {
      const status = { endpoint: SOUND, running: [], ended: [], pollSentAt: now - 1 };
      dispatcher.handleStatus(status, now, now);
      if (now === heardAt) {
        const { task, run } = [...dispatcher.getEndpointState(LOST)!.getRuns()][0]!;
        const running = [{ task, run, checkpoint: '', percent: 1, load: 0 }];
        dispatcher.handleStatus({ endpoint: LOST, running, ended: [], pollSentAt: now - 1 }, now, now);
      } else if (now > (heardAt ?? 0)) {
        dispatcher.handleEndpointUnreachable(LOST, now);
      }
      dispatcher.handleTick(now);
      dispatcher.placeWaiting(now, now);
      if (progress.getTask(TASK)!.runNumber > 1) {
        return now;
      }
    }
    return Infinity;
  };

  it('starts elsewhere once a lease granted until the response has expired, since the endpoint rejects earlier leaders from then on', () => {
    const restartMs = computeRestartMs(1000);
    expect(restartMs).toBeGreaterThan(1000 + LEASE_MS);
    expect(restartMs).toBeLessThan(1000 + LEASE_MS + 1000);
  });

  it('starts elsewhere no later than without a response', () => {
    expect(computeRestartMs(EARLIER_LEASES_MS - 1000)).toBeLessThan(EARLIER_LEASES_MS + 1000);
  });

  it('waits for the leases of earlier leaders while the endpoint has never responded', () => {
    expect(computeRestartMs(undefined)).toBeGreaterThan(EARLIER_LEASES_MS);
  });
});

describe('runs on an endpoint whose leases of earlier leaders have expired before its first response is read', () => {
  const startLeader = (): { dispatcher: Dispatcher; progress: JobProgress } => {
    const definition = createJobDefinition(1, [createStep({ count: 1 })]);
    const progress = new JobProgress(definition);
    progress.recordRunPlaced(TASK, 1, LOST);
    const dispatcher = new Dispatcher({ getDefinition: () => definition, earlierLeasesEndAt: 0 });
    dispatcher.handleEndpointProfile(createProfile(LOST));
    dispatcher.handleJob(definition, progress, 0);
    dispatcher.getEndpointState(LOST)!.recordPollSent();
    dispatcher.handleTick(LEASE_MS);
    return { dispatcher, progress };
  };
  const getRuns = (dispatcher: Dispatcher): readonly unknown[] => [
    ...dispatcher.getEndpointState(LOST)!.getRuns(),
  ];

  it('are not lost while the response is pending, so that a run that is done does not run again', () => {
    const { dispatcher, progress } = startLeader();
    expect(getRuns(dispatcher)).toHaveLength(1);
    const task = toTaskName(toId('0000000000000001'), TASK);
    const ended = [{ number: 1, task, run: 1, how: 'done' as const, checkpoint: '' }];
    dispatcher.handleStatus({ endpoint: LOST, running: [], ended, pollSentAt: 1 }, LEASE_MS, LEASE_MS);
    expect(progress.getTask(TASK)!.phase).toBe('done');
  });

  it('are lost once the poll has failed', () => {
    const { dispatcher } = startLeader();
    dispatcher.handleEndpointUnreachable(LOST, LEASE_MS);
    dispatcher.handleTick(LEASE_MS + TICK_MS);
    expect(getRuns(dispatcher)).toHaveLength(0);
  });
});
