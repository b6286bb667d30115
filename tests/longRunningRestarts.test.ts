import { describe, expect, it } from 'vitest';
import { toId } from '../packages/common/toId';
import type { DispatchEffect } from '../packages/dispatch/DispatchEffect';
import { Dispatcher } from '../packages/dispatch/Dispatcher';
import type { EndpointIncarnation } from '../packages/jobs/EndpointIncarnation';
import type { JobDefinition } from '../packages/jobs/JobDefinition';
import type { JobId } from '../packages/jobs/JobId';
import { JobProgress } from '../packages/jobs/JobProgress';
import { createJobDefinition } from './helpers/createJobDefinition';
import { createProfile } from './helpers/createProfile';
import { createStep } from './helpers/createStep';

type StartEffect = Extract<DispatchEffect, { kind: 'start' }>;

describe('the reserve of the most urgent queue', () => {
  const ENDPOINTS = 25;
  let dispatcher: Dispatcher;

  const sendStatus = (number: number, now: number, ended: readonly StartEffect[] = []): void => {
    const rows = ended.map(({ command: { task, run } }, index) => ({
      number: index + 1,
      task,
      run,
      how: 'lapsed' as const,
      checkpoint: '',
    }));
    const endpoint = toId<EndpointIncarnation>(`i-${number}`);
    dispatcher.handleStatus({ endpoint, running: [], ended: rows, pollSentAt: 0 }, now, now);
  };

  const sendJob = (definition: JobDefinition): JobProgress => {
    const progress = new JobProgress(definition);
    dispatcher.handleJob(definition, progress, 0);
    return progress;
  };

  const countWaiting = (progress: JobProgress): number =>
    progress.listTasks(0, 0).filter(({ phase }) => phase === 'waiting').length;

  it('is open to restarts of long-running tasks, which would wait beside free capacity, but not to other steps', () => {
    dispatcher = new Dispatcher({ getDefinition: () => undefined, earlierLeasesEndAt: 0 });
    for (let number = 0; number < ENDPOINTS; number += 1) {
      dispatcher.handleEndpointProfile(createProfile(`i-${number}`));
      sendStatus(number, 0);
    }
    sendJob(createJobDefinition(1, [createStep({ count: 1 })], { priority: 0 }));
    const lasting = sendJob(
      createJobDefinition(2, [createStep({ count: 2, isLongRunning: true })], { priority: 2 }),
    );
    dispatcher.placeWaiting(0, 0);
    const starts = dispatcher
      .takeEffects()
      .filter((effect): effect is StartEffect => effect.kind === 'start');
    const lastingStarts = starts.filter(({ job }) => job === toId<JobId>('2'.padStart(16, '0')));
    expect(lastingStarts).toHaveLength(2);
    const batch = sendJob(createJobDefinition(3, [createStep({ count: 100 })], { priority: 1 }));
    dispatcher.placeWaiting(0, 0);
    for (const effect of lastingStarts) {
      dispatcher.handleStartRecorded(effect, 1);
      dispatcher.handleStartResult(effect.endpoint, effect.command.task, 1, { kind: 'done' }, 1);
      sendStatus(Number(effect.endpoint.slice('i-'.length)), 2, [effect]);
    }
    expect(countWaiting(lasting)).toBe(2);
    dispatcher.handleTick(100);
    dispatcher.placeWaiting(100, 100);
    expect(countWaiting(lasting)).toBe(0);
    // The tasks of the batch use up the capacity outside the reserve, 92 cores, and the others wait.
    expect(countWaiting(batch)).toBe(100 - (92 - 1));
  });
});
