import { describe, expect, it } from 'vitest';
import { toId } from '../packages/common/toId';
import { Dispatcher } from '../packages/dispatch/Dispatcher';
import type { EndedTaskStatus } from '../packages/dispatch/endpoints/EndedTaskStatus';
import type { EndpointIncarnation } from '../packages/jobs/EndpointIncarnation';
import { progressTexts } from '../packages/jobs/progressTexts';
import { JobProgress } from '../packages/jobs/JobProgress';
import type { JobState } from '../packages/jobs/JobState';
import { parseProgress } from '../packages/jobs/parseProgress';
import { createJobDefinition } from './helpers/createJobDefinition';
import { createProfile } from './helpers/createProfile';
import { createStep } from './helpers/createStep';

const ENDPOINT = toId<EndpointIncarnation>('i-0');
const ATTEMPTS = 3;

describe('a gang whose members fail', () => {
  /** Runs a gang of two until its job has ended, with the given ends of its members in each run. Returns the state after each run. */
  const runGang = (
    runs: readonly (readonly [EndedTaskStatus['how'], EndedTaskStatus['how']])[],
  ): JobState[] => {
    const definition = createJobDefinition(1, [createStep({ count: 2, isGang: true })], {
      attempts: ATTEMPTS,
    });
    const progress = new JobProgress(definition);
    const dispatcher = new Dispatcher({ getDefinition: () => definition, earlierLeasesEndAt: 0 });
    dispatcher.handleEndpointProfile(createProfile(ENDPOINT));
    dispatcher.handleStatus({ endpoint: ENDPOINT, running: [], ended: [], pollSentAt: 0 }, 0, 0);
    dispatcher.handleJob(definition, progress, 0);
    return runs.map((ends, index) => {
      const now = 1000 * (index + 1);
      dispatcher.handleTick(now);
      dispatcher.placeWaiting(now, now);
      const members = dispatcher.takeEffects().flatMap((effect) => (effect.kind === 'start' ? [effect] : []));
      members.forEach((start) => {
        dispatcher.handleStartRecorded(start, now);
        dispatcher.handleStartResult(ENDPOINT, start.command.task, start.command.run, { kind: 'done' }, now);
      });
      const ended = members.map(({ command: { task, run } }, member) => ({
        number: 2 * index + member + 1,
        task,
        run,
        how: ends[member]!,
        checkpoint: '',
      }));
      dispatcher.handleStatus(
        { endpoint: ENDPOINT, running: [], ended, pollSentAt: now + 1 },
        now + 2,
        now + 2,
      );
      return progress.getState();
    });
  };

  it('fails its job once as many runs of the gang have failed as attempts are allowed, however many members fail in each', () => {
    expect(
      runGang([
        ['failed', 'failed'],
        ['failed', 'failed'],
        ['failed', 'failed'],
      ]),
    ).toEqual(['running', 'running', 'failed']);
  });

  it('counts runs that failed by different members together', () => {
    expect(
      runGang([
        ['failed', 'broken'],
        ['broken', 'failed'],
        ['failed', 'broken'],
      ]),
    ).toEqual(['running', 'running', 'failed']);
  });

  it('counts a run once when a new leader learns of the failure of the second member', () => {
    const definition = createJobDefinition(1, [createStep({ count: 2, isGang: true })], {
      attempts: ATTEMPTS,
    });
    const progress = new JobProgress(definition);
    const members = [0, 1].map((index) => ({ repetition: 0, step: 0, index }));
    for (let run = 1; run < ATTEMPTS; run += 1) {
      members.forEach((member) => progress.recordRunPlaced(member, run, ENDPOINT));
      progress.recordRunEnd(members[0]!, run, 'failed', '');
      if (run < ATTEMPTS - 1) {
        progress.recordRunEnd(members[1]!, run, 'interrupted', '');
      }
    }
    const recovered = parseProgress(definition, { text: progressTexts.formatWhole(definition, progress) })!;
    recovered.recordRunEnd(members[1]!, ATTEMPTS - 1, 'failed', '');
    const failureCounts = recovered.listTasks(0, 0).map(({ failureCount }) => failureCount);
    expect(failureCounts).toEqual([ATTEMPTS - 1, 0]);
  });
});
