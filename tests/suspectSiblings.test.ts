import { describe, expect, it } from 'vitest';
import { toId } from '../packages/common/toId';
import { Dispatcher } from '../packages/dispatch/Dispatcher';
import type { CrashBlame } from '../packages/jobs/CrashBlame';
import type { EndpointIncarnation } from '../packages/jobs/EndpointIncarnation';
import { JobProgress } from '../packages/jobs/JobProgress';
import { createJobDefinition } from './helpers/createJobDefinition';
import { createProfile } from './helpers/createProfile';
import { createStep } from './helpers/createStep';

const PLACED = { repetition: 0, step: 0, index: 0 };
const WAITING = { repetition: 0, step: 0, index: 1 };
const ENDPOINT = toId<EndpointIncarnation>('i-0');
const TICK_MS = 100;
/** Longest time for which leases of earlier leaders may be valid. */
const EARLIER_LEASES_MS = 12_400;
/** Time until the lease of an endpoint that fell silent under this leader has expired. */
const LEASE_MS = 4370;
/** Time in which a task that lasts has to run again beside free capacity. */
const RESTART_MS = 6000;

describe('a lasting task suspected of crashes, with a suspected sibling that an earlier leader placed', () => {
  /** Returns the time from the takeover until the waiting task is started, while the endpoint of its sibling is never heard. */
  const computeStartMs = (blame: CrashBlame): number => {
    const definition = createJobDefinition(1, [createStep({ count: 2, isLongRunning: true })]);
    const progress = new JobProgress(definition);
    progress.recordRunPlaced(PLACED, 1, toId<EndpointIncarnation>('gone'));
    for (const address of [PLACED, WAITING]) {
      progress.recordCrash(address, { endpoint: toId<EndpointIncarnation>('crashed'), blame, ageMs: 100 });
    }
    const dispatcher = new Dispatcher({
      getDefinition: () => definition,
      earlierLeasesEndAt: EARLIER_LEASES_MS,
    });
    dispatcher.handleEndpointProfile(createProfile(ENDPOINT));
    dispatcher.handleJob(definition, progress, 0);
    for (let now = 0; now < 2 * EARLIER_LEASES_MS; now += TICK_MS) {
      const status = { endpoint: ENDPOINT, running: [], ended: [], pollSentAt: now - 1 };
      dispatcher.handleStatus(status, now, now);
      dispatcher.handleTick(now);
      dispatcher.placeWaiting(now, now);
      if (progress.getTask(WAITING)!.phase === 'placed') {
        return now;
      }
    }
    return Infinity;
  };

  it('starts beside free capacity before the leases of earlier leaders have expired', () => {
    for (const blame of ['sole', 'inherited'] as const) {
      expect(computeStartMs(blame)).toBeLessThan(RESTART_MS);
    }
  });

  it('waits as long as it would for an endpoint that fell silent under this leader', () => {
    for (const blame of ['sole', 'inherited'] as const) {
      expect(computeStartMs(blame)).toBeGreaterThan(LEASE_MS);
    }
  });
});
