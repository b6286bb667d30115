import { describe, expect, it } from 'vitest';
import { toId } from '../packages/common/toId';
import { Dispatcher } from '../packages/dispatch/Dispatcher';
import type { EndpointIncarnation } from '../packages/jobs/EndpointIncarnation';
import { JobProgress } from '../packages/jobs/JobProgress';
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
