import { describe, expect, it } from 'vitest';
import { Dispatcher } from '../packages/dispatch/Dispatcher';
import { JobProgress } from '../packages/jobs/JobProgress';
import { createJobDefinition } from './helpers/createJobDefinition';
import { createProfile } from './helpers/createProfile';
import { createStep } from './helpers/createStep';

const TICK_MS = 100;

/** A service without an endpoint that is large enough, and one with. Gives the lines about waits, with their times. */
const startWaiting = (cpuMillis: number, untilMs: number) => {
  const dispatcher = new Dispatcher({ getDefinition: () => undefined, earlierLeasesEndAt: 0 });
  const profile = createProfile('i-1');
  dispatcher.handleEndpointProfile(profile);
  dispatcher.handleStatus({ endpoint: profile.incarnation, running: [], ended: [], sentAt: 0 }, 0, 0);
  const demand = { cpuMillis, memoryMb: 100, accelerators: 0 };
  const definition = createJobDefinition(1, [createStep({ count: 1, demand })]);
  dispatcher.handleJob(definition, new JobProgress(definition), 0);
  const told: (readonly [number, unknown])[] = [];
  for (let now = 0; now <= untilMs; now += TICK_MS) {
    dispatcher.handleTick(now);
    dispatcher.placeWaiting(now, now);
    for (const effect of dispatcher.takeEffects()) {
      if (effect.kind === 'tell' && effect.message === 'Step waits.') {
        told.push([now, effect.fields]);
      }
    }
  }
  return { told, job: definition.id, left: dispatcher.listWaits(untilMs) };
};

describe('a step that waits', () => {
  it('is told with its causes while it does so, ever more rarely', () => {
    const { told, job } = startWaiting(8000, 20_000);
    expect(told.map(([at]) => at)).toEqual([1000, 2000, 4000, 8000, 16_000]);
    const waits = { room: 4000 };
    expect(told[2]![1]).toEqual({ job, step: `${job}.0.0`, queue: 'jobs', waits });
  });

  it('is told when its leader goes, however short the wait', () => {
    const { told, job, left } = startWaiting(8000, 700);
    expect(told).toEqual([]);
    expect(left).toEqual([{ job, step: `${job}.0.0`, queue: 'jobs', waits: { room: 700 } }]);
  });

  it('is not told once it is placed', () => {
    const { told, left } = startWaiting(1000, 5000);
    expect([told, left]).toEqual([[], []]);
  });
});
