import { describe, expect, it } from 'vitest';
import { Dispatcher } from '../packages/dispatch/Dispatcher';
import { JobProgress } from '../packages/jobs/JobProgress';
import { createJobDefinition } from './helpers/createJobDefinition';
import { createProfile } from './helpers/createProfile';
import { createStep } from './helpers/createStep';

const TICK_MS = 100;

/** Runs a job of one task, which may be too large for the only endpoint. Returns the log lines about waits, with their times. */
const runWait = (cpuMillis: number, untilMs: number) => {
  const dispatcher = new Dispatcher({ getDefinition: () => undefined, earlierLeasesEndAt: 0 });
  const profile = createProfile('i-1');
  dispatcher.handleEndpointProfile(profile);
  dispatcher.handleStatus({ endpoint: profile.incarnation, running: [], ended: [], pollSentAt: 0 }, 0, 0);
  const demand = { cpuMillis, memoryMb: 100, accelerators: 0 };
  const definition = createJobDefinition(1, [createStep({ count: 1, demand })]);
  dispatcher.handleJob(definition, new JobProgress(definition), 0);
  const logged: (readonly [number, unknown])[] = [];
  for (let now = 0; now <= untilMs; now += TICK_MS) {
    dispatcher.handleTick(now);
    dispatcher.placeWaiting(now, now);
    for (const effect of dispatcher.takeEffects()) {
      if (effect.kind === 'tell' && effect.message === 'Step waits.') {
        logged.push([now, effect.fields]);
      }
    }
  }
  return { logged, job: definition.id, open: dispatcher.listOpenWaits(untilMs) };
};

describe('a waiting step', () => {
  it('is logged with its causes each time its wait has doubled', () => {
    const { logged, job } = runWait(8000, 20_000);
    expect(logged.map(([at]) => at)).toEqual([1000, 2000, 4000, 8000, 16_000]);
    const waits = { room: 4000 };
    expect(logged[2]![1]).toEqual({ job, step: `${job}.0.0`, queue: 'jobs', waits });
  });

  it('is listed for the end of its leader, however short the wait', () => {
    const { logged, job, open } = runWait(8000, 700);
    expect(logged).toEqual([]);
    expect(open).toEqual([{ job, step: `${job}.0.0`, queue: 'jobs', waits: { room: 700 } }]);
  });

  it('is not logged once it is placed', () => {
    const { logged, open } = runWait(1000, 5000);
    expect([logged, open]).toEqual([[], []]);
  });
});
