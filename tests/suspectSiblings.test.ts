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

describe('lasting tasks of one step, all suspected of crashes', () => {
  const TASK_COUNT = 40;
  const STATUS_MS = 100;

  /** Returns how many tasks run at a time, and how many endpoints have crashed; a task crashes its endpoint at once if `isCrashing`. */
  const countStartedTasks = (
    isCrashing: boolean,
    untilMs: number,
  ): { readonly started: number; readonly crashed: number } => {
    const definition = createJobDefinition(1, [createStep({ count: TASK_COUNT, isLongRunning: true })]);
    const progress = new JobProgress(definition);
    const endpoints = Array.from({ length: TASK_COUNT }, (_none, number) =>
      toId<EndpointIncarnation>(`i-${number}`),
    );
    for (let index = 0; index < TASK_COUNT; index += 1) {
      const address = { repetition: 0, step: 0, index };
      const endpoint = toId<EndpointIncarnation>(`gone-${index}`);
      progress.recordRunPlaced(address, 1, endpoint);
      progress.recordRunEnd(address, 1, 'interrupted', '');
      progress.recordCrash(address, { endpoint, blame: 'inherited', ageMs: 4500 });
    }
    const dispatcher = new Dispatcher({ getDefinition: () => definition, earlierLeasesEndAt: 0 });
    endpoints.forEach((endpoint) => dispatcher.handleEndpointProfile(createProfile(endpoint)));
    dispatcher.handleJob(definition, progress, 0);
    const crashed = new Set<EndpointIncarnation>();
    for (let now = 0; now < untilMs; now += STATUS_MS) {
      for (const endpoint of endpoints) {
        const runs = [...dispatcher.getEndpointState(endpoint)!.getRuns()];
        if (isCrashing && runs.length > 0) {
          crashed.add(endpoint);
        }
        if (crashed.has(endpoint)) {
          dispatcher.handleEndpointUnreachable(endpoint, now);
          continue;
        }
        const running = runs.map(({ task, run }) => ({ task, run, checkpoint: '', percent: 1, load: 0 }));
        dispatcher.handleStatus({ endpoint, running, ended: [], pollSentAt: now - 1 }, now, now);
        dispatcher.getEndpointState(endpoint)!.recordLease(now + LEASE_MS);
      }
      dispatcher.handleTick(now);
      dispatcher.placeWaiting(now, now);
      for (const effect of dispatcher.takeEffects()) {
        if (effect.kind === 'start' && dispatcher.handleStartRecorded(effect, now)) {
          const { task, run } = effect.command;
          dispatcher.handleStartResult(effect.endpoint, task, run, { kind: 'done' }, now);
        }
      }
    }
    const started = progress.listTasks(0, 0).filter(({ phase }) => phase === 'placed').length;
    return { started, crashed: crashed.size };
  };

  it('all run again in time, as those that have passed their startup speak for their siblings', () => {
    expect(countStartedTasks(false, RESTART_MS)).toEqual({ started: TASK_COUNT, crashed: 0 });
  });

  it('start one at a time while none has passed its startup', () => {
    expect(countStartedTasks(true, LEASE_MS).crashed).toBe(1);
  });
});
