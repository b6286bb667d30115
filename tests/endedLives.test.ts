import { beforeEach, describe, expect, it } from 'vitest';
import { toId } from '../packages/common/toId';
import type { DispatchEffect } from '../packages/dispatch/DispatchEffect';
import { Dispatcher } from '../packages/dispatch/Dispatcher';
import type { EndpointIncarnation } from '../packages/jobs/EndpointIncarnation';
import { JobProgress } from '../packages/jobs/JobProgress';
import { createJobDefinition } from './helpers/createJobDefinition';
import { createProfile } from './helpers/createProfile';
import { createStep } from './helpers/createStep';

type Tell = Extract<DispatchEffect, { kind: 'tell' }>;

const ENDPOINT = toId<EndpointIncarnation>('i-0');
const JOB = createJobDefinition(1, [createStep({ count: 1 })]);

describe('what the log tells of a run that was lost', () => {
  let dispatcher: Dispatcher;

  beforeEach(() => {
    dispatcher = new Dispatcher({ getDefinition: () => undefined, earlierLeasesEndAt: 0 });
    dispatcher.handleEndpointProfile(createProfile(ENDPOINT));
    dispatcher.handleStatus({ endpoint: ENDPOINT, running: [], ended: [], sentAt: 0 }, 0, 0);
    dispatcher.handleJob(JOB, new JobProgress(JOB), 0);
    dispatcher.placeWaiting(0, 0);
    for (const effect of dispatcher.takeEffects()) {
      if (effect.kind === 'start') {
        dispatcher.handleStartRecorded(effect, 10);
        dispatcher.handleStartResult(ENDPOINT, effect.command.task, effect.command.run, { kind: 'done' }, 20);
      }
    }
  });

  const readTell = (effects: readonly DispatchEffect[], sentence: string): Tell['fields'] | undefined =>
    effects.find((effect): effect is Tell => effect.kind === 'tell' && effect.message === sentence)?.fields;

  it('names the end of the endpoint, how long it was unheard, and what ran there', () => {
    dispatcher.handleUnreachable(ENDPOINT, 100);
    dispatcher.handleIncarnationEnd(ENDPOINT, 3100);
    const effects = dispatcher.takeEffects();
    expect(readTell(effects, 'Endpoint incarnation has ended.')).toMatchObject({
      unheardMs: 3100,
      silentMs: 3000,
      isDraining: false,
      hasRecord: true,
      runs: [{ task: `${JOB.id}.0.0.0`, run: 1, stage: 'running', ageMs: 3080 }],
    });
    expect(readTell(effects, 'Run ended.')).toMatchObject({ outcome: 'interrupted', cause: 'lifeOver' });
    expect(effects).toContainEqual({ kind: 'count', name: 'runsLost', amount: 1 });
  });

  it('tells a lease that ran out from the end of the endpoint', () => {
    dispatcher.getEndpointState(ENDPOINT)!.recordLease(4000);
    dispatcher.handleUnreachable(ENDPOINT, 100);
    dispatcher.handleTick(4100);
    const effects = dispatcher.takeEffects();
    expect(readTell(effects, 'Run ended.')).toMatchObject({ outcome: 'interrupted', cause: 'leaseOver' });
    expect(effects).toContainEqual({ kind: 'count', name: 'runsLapsed', amount: 1 });
  });
});
