import { beforeEach, describe, expect, it } from 'vitest';
import { toId } from '../packages/common/toId';
import type { DispatchEffect } from '../packages/dispatch/DispatchEffect';
import { Dispatcher } from '../packages/dispatch/Dispatcher';
import type { EndpointIncarnation } from '../packages/jobs/EndpointIncarnation';
import type { JobDefinition } from '../packages/jobs/JobDefinition';
import { JobProgress } from '../packages/jobs/JobProgress';
import { createJobDefinition } from './helpers/createJobDefinition';
import { createProfile } from './helpers/createProfile';
import { createStep } from './helpers/createStep';

type StartEffect = Extract<DispatchEffect, { kind: 'start' }>;
type Question = Extract<DispatchEffect, { kind: 'advise' }>;

const ENDPOINT = toId<EndpointIncarnation>('i-0');
const VALIDITY_MS = 2500;
const ROOM = 4;
const TURNS = { all: 1, long: 1 };

const createJob = (number: number, priority: number, count: number): JobDefinition =>
  createJobDefinition(
    number,
    [createStep({ count, demand: { cpuMillis: 1000, memoryMb: 100, accelerators: 0 } })],
    {
      name: `queue-${priority}`,
      priority,
      advice: { decisionMs: 5, perEndpointMs: 1, validityMs: VALIDITY_MS },
    },
  );

describe('starts whose record waits for the log', () => {
  let dispatcher: Dispatcher;

  beforeEach(() => {
    dispatcher = new Dispatcher({ getDefinition: () => undefined, earlierLeasesEndAt: 0 });
    const capacity = { cpuMillis: ROOM * 1000, memoryMb: 10_000, accelerators: 0 };
    dispatcher.handleEndpointProfile(createProfile(ENDPOINT, { capacity }));
    dispatcher.handleStatus({ endpoint: ENDPOINT, running: [], ended: [], sentAt: 0 }, 0, 0);
  });

  const sendJob = (definition: JobDefinition, now: number): void =>
    dispatcher.handleJob(definition, new JobProgress(definition), now);

  const sendAnswer = ({ step, endpoints }: Question, now: number): void => {
    const good = new Map(endpoints.map((id) => [id, `ticket ${step} ${now}`]));
    dispatcher.handleAdviceResponse(step, endpoints, good, now);
  };

  const readQuestions = (): readonly Question[] =>
    dispatcher.takeEffects().filter((effect): effect is Question => effect.kind === 'advise');

  const readStarts = (): readonly StartEffect[] =>
    dispatcher.takeEffects().filter((effect): effect is StartEffect => effect.kind === 'start');

  /** Places a job of as many tasks as there is room for. */
  const startPlaced = (): readonly StartEffect[] => {
    sendJob(createJob(1, 0, ROOM), 0);
    dispatcher.placeWaiting(0, 0);
    sendAnswer(readQuestions()[0]!, 10);
    dispatcher.placeWaiting(20, 20);
    return readStarts();
  };

  const readFreeCpuMillis = (): number => dispatcher.getEndpointState(ENDPOINT)!.getFreeCpuMillis();

  it('are sent when it comes in time, and not once their tickets have run out', () => {
    const [first, second] = startPlaced();
    expect(dispatcher.handleStartRecorded(first!, 100)).toBe(true);
    expect(dispatcher.handleStartRecorded(second!, VALIDITY_MS)).toBe(false);
    expect(readFreeCpuMillis()).toBe(1000);
  });

  it('give their room back when they are revoked, and are not sent later', () => {
    const starts = startPlaced();
    expect(readFreeCpuMillis()).toBe(0);
    dispatcher.cancelUnrecordedStarts(1000);
    expect(readFreeCpuMillis()).toBe(ROOM * 1000);
    expect(starts.map((start) => dispatcher.handleStartRecorded(start, 1100))).toEqual(
      starts.map(() => false),
    );
    dispatcher.placeWaiting(1200, 1200);
    expect(readStarts().map(({ command: order }) => order.run)).toEqual(starts.map(() => 2));
  });

  it('are prepared by tickets for what is placed first, which are asked for again before they run out', () => {
    sendJob(createJob(1, 1, ROOM), 0);
    sendJob(createJob(2, 0, ROOM), 0);
    const asked: { readonly step: string; readonly at: number }[] = [];
    for (let now = 0; now <= 6000; now += 100) {
      dispatcher.handleTick(now);
      dispatcher.requestAdviceAhead(now, now, TURNS);
      for (const question of readQuestions()) {
        asked.push({ step: question.step, at: now });
        sendAnswer(question, now);
      }
    }
    // The room is enough for the more urgent job alone, and nothing of it is taken.
    expect(new Set(asked.map(({ step }) => step))).toEqual(new Set(['0000000000000002.0.0']));
    expect(asked.length).toBeGreaterThan(2);
    expect(asked.length).toBeLessThan(5);
    expect(readFreeCpuMillis()).toBe(ROOM * 1000);
    dispatcher.placeWaiting(6010, 6010);
    expect(readStarts().map(({ job }) => job)).toEqual(
      Array.from({ length: ROOM }, () => createJob(2, 0, 1).id),
    );
  });
});
