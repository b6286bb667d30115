import { beforeEach, describe, expect, it } from 'vitest';
import { toId } from '../packages/common/toId';
import type { DispatchEffect } from '../packages/dispatch/DispatchEffect';
import { Dispatcher } from '../packages/dispatch/Dispatcher';
import type { EndpointIncarnation } from '../packages/jobs/EndpointIncarnation';
import { JobProgress } from '../packages/jobs/JobProgress';
import { createJobDefinition } from './helpers/createJobDefinition';
import { createProfile } from './helpers/createProfile';
import { createStep } from './helpers/createStep';

type LogEffect = Extract<DispatchEffect, { kind: 'tell' }>;

const ENDPOINT = toId<EndpointIncarnation>('i-0');
const JOB = createJobDefinition(1, [createStep({ count: 1 })]);

describe('log lines of lost runs', () => {
  let dispatcher: Dispatcher;

  beforeEach(() => {
    dispatcher = new Dispatcher({ getDefinition: () => undefined, earlierLeasesEndAt: 0 });
    dispatcher.handleEndpointProfile(createProfile(ENDPOINT));
    dispatcher.handleStatus({ endpoint: ENDPOINT, running: [], ended: [], pollSentAt: 0 }, 0, 0);
    dispatcher.handleJob(JOB, new JobProgress(JOB), 0);
    dispatcher.placeWaiting(0, 0);
    for (const effect of dispatcher.takeEffects()) {
      if (effect.kind === 'start') {
        dispatcher.handleStartRecorded(effect, 10);
        dispatcher.handleStartResult(ENDPOINT, effect.command.task, effect.command.run, { kind: 'done' }, 20);
      }
    }
  });

  const findLogFields = (
    effects: readonly DispatchEffect[],
    message: string,
  ): LogEffect['fields'] | undefined =>
    effects.find((effect): effect is LogEffect => effect.kind === 'tell' && effect.message === message)
      ?.fields;

  it('include the end of the incarnation, the age of its last status and its runs', () => {
    dispatcher.handleEndpointUnreachable(ENDPOINT, 100);
    dispatcher.handleIncarnationEnd(ENDPOINT, 3100);
    const effects = dispatcher.takeEffects();
    expect(findLogFields(effects, 'Endpoint incarnation has ended.')).toMatchObject({
      unheardMs: 3100,
      silentMs: 3000,
      isDraining: false,
      hasRecord: true,
      runs: [{ task: `${JOB.id}.0.0.0`, run: 1, stage: 'running', ageMs: 3080 }],
    });
    expect(findLogFields(effects, 'Run ended.')).toMatchObject({ outcome: 'interrupted', cause: 'lifeOver' });
    expect(effects).toContainEqual({ kind: 'count', name: 'runsLost', amount: 1 });
  });

  it('distinguish an expired lease from the end of the incarnation', () => {
    dispatcher.getEndpointState(ENDPOINT)!.recordLease(4000);
    dispatcher.handleEndpointUnreachable(ENDPOINT, 100);
    dispatcher.handleTick(4100);
    const effects = dispatcher.takeEffects();
    expect(findLogFields(effects, 'Run ended.')).toMatchObject({
      outcome: 'interrupted',
      cause: 'leaseOver',
    });
    expect(effects).toContainEqual({ kind: 'count', name: 'runsLapsed', amount: 1 });
  });
});
