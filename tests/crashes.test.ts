/*
 * What users saw: two tasks of urgent jobs were started again and again until the day ended, some thirty times each. Each start ended the
 * endpoint that carried it out, with all that ran there; the endpoint came back after 3 s.
 *
 * Order of events: a task is placed; the endpoint confirms the start and ends 10 ms later; its looks are refused for 3 s; then another
 * life answers at its address, so that all that ran there is known to have ended; the task waits again and is placed within 40 ms on the
 * next endpoint. A change of leader in between changes nothing.
 *
 * Cause: the end of an endpoint's life was an end of its runs that counted against nothing. Only ends that an endpoint itself calls
 * `failed` had a bound, and a task that ends its endpoint leaves no endpoint to say so.
 *
 * Evidence: the leaders' lines `Run ended.` for one task, each `interrupted`, in stage `running`, confirmed 3 to 15 ms after its record and
 * last listed never, followed by `Tasks placed.` 30 ms later; run numbers 3, 4, 5 under one leader and on under the next.
 */
import { describe, expect, it } from 'vitest';
import { toId } from '../packages/common/toId';
import type { JobDefinition } from '../packages/jobs/JobDefinition';
import type { TaskName } from '../packages/jobs/TaskName';
import { CrashWorld } from './helpers/CrashWorld';
import { createJobDefinition } from './helpers/createJobDefinition';
import { createStep } from './helpers/createStep';

/** Starts of one such task that its users bear: three endpoints lost, and two starts more. */
const MAX_STARTS = 5;
const CRASH_AFTER_MS = 10;
const SOUND = { runMs: 800 };
const HARMFUL = { runMs: 800, crashAfterMs: CRASH_AFTER_MS };
const WORLD = { seed: 20261202, endpoints: 12, cpuMillis: 16_000, returnMs: 3000 };
const SOUND_JOBS = 24;

const createJob = (number: number, count: number): JobDefinition =>
  createJobDefinition(number, [
    createStep({ count, demand: { cpuMillis: 1300, memoryMb: 100, accelerators: 0 } }),
  ]);

const toFirstTask = ({ id }: JobDefinition): TaskName => toId<TaskName>(`${id}.0.0.0`);

describe('tasks that end the endpoints they run on', () => {
  it('are given up after a few endpoints, across changes of leader, and what ran beside them is done', () => {
    for (const leaderEveryMs of [undefined, 2700]) {
      const world = new CrashWorld({ ...WORLD, ...(leaderEveryMs === undefined ? {} : { leaderEveryMs }) });
      const harmful = createJob(1, 1);
      world.start(200);
      world.handleJob(harmful, HARMFUL);
      let sent = 0;
      world.start(60_000, (now) => {
        if (now % 100 === 0 && sent < SOUND_JOBS) {
          sent += 1;
          world.handleJob(createJob(100 + sent, 6), SOUND);
        }
      });
      expect(world.readStartCount(toFirstTask(harmful))).toBeLessThanOrEqual(MAX_STARTS);
      expect(world.readState(harmful.id)).toBe('failed');
      const others = world.readJobIds().filter((id) => id !== harmful.id);
      expect(others.map((id) => world.readState(id))).toEqual(others.map(() => 'completed'));
    }
  });
});
