import { describe, expect, it } from 'vitest';
import { toId } from '../packages/common/toId';
import { ResponseTimeout } from '../packages/dispatch/endpoints/ResponseTimeout';
import type { DispatchEffect } from '../packages/dispatch/DispatchEffect';
import { Dispatcher } from '../packages/dispatch/Dispatcher';
import type { EndpointIncarnation } from '../packages/jobs/EndpointIncarnation';
import type { JobDefinition } from '../packages/jobs/JobDefinition';
import { JobProgress } from '../packages/jobs/JobProgress';
import type { JobStep } from '../packages/jobs/JobStep';
import { createJobDefinition } from './helpers/createJobDefinition';
import { createProfile } from './helpers/createProfile';
import { createStep } from './helpers/createStep';

type StartEffect = Extract<DispatchEffect, { kind: 'start' }>;
type StopEffect = Extract<DispatchEffect, { kind: 'stop' }>;
type Question = Extract<DispatchEffect, { kind: 'advise' }>;

interface Round {
  readonly starts: readonly StartEffect[];
  readonly stops: readonly StopEffect[];
  readonly questions: readonly Question[];
}

const ACCELERATORS = 8;
const LEASE_MS = 4000;
const URGENT = 1;
const PATIENT = 2;

const createJob = (number: number, priority: number, step: Partial<JobStep>): JobDefinition =>
  createJobDefinition(
    number,
    [
      createStep({
        count: 1,
        demand: { cpuMillis: 1000, memoryMb: 100, accelerators: 1 },
        estimatedMs: 4000,
        ...step,
      }),
    ],
    { name: `queue-${priority}`, priority, stretch: 4, targetLatencyMs: 3000 },
  );

const createGang = (number: number): JobDefinition =>
  createJob(number, URGENT, {
    count: 2,
    isGang: true,
    demand: { cpuMillis: 4000, memoryMb: 100, accelerators: ACCELERATORS },
  });

/** Two endpoints of eight accelerators each; what is started there is confirmed at once and shown by looks. */
class SmallCell {
  readonly dispatcher = new Dispatcher({ getDefinition: () => undefined, earlierLeasesEndAt: 0 });
  private readonly running = new Map<EndpointIncarnation, StartEffect[]>();
  private now = 0;

  constructor() {
    for (const name of ['i-0', 'i-1']) {
      const id = toId<EndpointIncarnation>(name);
      this.running.set(id, []);
      const capacity = { cpuMillis: 16_000, memoryMb: 10_000, accelerators: ACCELERATORS };
      this.dispatcher.handleEndpointProfile(createProfile(id, { capacity }));
    }
    this.startLooks();
  }

  sendJob(definition: JobDefinition): void {
    this.dispatcher.handleJob(definition, new JobProgress(definition), this.now);
  }

  /** One round; gives what it asks for, and carries the starts out. */
  startRound({ isAnswered } = { isAnswered: true }): Round {
    this.now += 100;
    this.dispatcher.handleTick(this.now);
    this.dispatcher.placeWaiting(this.now, this.now);
    const effects = this.dispatcher.takeEffects();
    const starts = effects.filter((effect): effect is StartEffect => effect.kind === 'start');
    for (const start of starts) {
      this.dispatcher.handleStartRecorded(start, this.now);
      const { endpoint, command: order } = start;
      this.dispatcher.getEndpointState(endpoint)?.recordLease(this.now + LEASE_MS);
      const answer = isAnswered ? ({ kind: 'done' } as const) : ({ kind: 'unanswered', detail: '' } as const);
      this.dispatcher.handleStartResult(endpoint, order.task, order.run, answer, this.now);
      if (isAnswered) {
        this.running.get(endpoint)!.push(start);
      }
    }
    return {
      starts,
      stops: effects.filter((effect): effect is StopEffect => effect.kind === 'stop'),
      questions: effects.filter((effect): effect is Question => effect.kind === 'advise'),
    };
  }

  /** Answers a question for advice: some endpoints may run the step. */
  recordAdvice({ step, endpoints }: Question, good: readonly string[]): void {
    const tickets = new Map(good.map((id) => [toId<EndpointIncarnation>(id), 'ticket']));
    this.dispatcher.handleAdviceResponse(step, endpoints, tickets, this.now);
  }

  /** Ends what was to be stopped, as a look shows it. */
  recordStopped({ endpoint, task, run }: StopEffect): void {
    const runs = this.running.get(endpoint)!;
    const kept = runs.filter(({ command: order }) => order.task !== task);
    this.running.set(endpoint, kept);
    const ended = [{ number: 1, task, run, how: 'stopped', checkpoint: 'saved' } as const];
    this.sendLook(endpoint, ended);
  }

  /** Lets what runs work on for a while, seen by looks. */
  startLooks(): void {
    this.now += 400;
    [...this.running.keys()].forEach((endpoint) => this.sendLook(endpoint, []));
  }

  private sendLook(
    endpoint: EndpointIncarnation,
    ended: Parameters<Dispatcher['handleStatus']>[0]['ended'],
  ): void {
    const running = this.running.get(endpoint)!.map(({ command: order }) => ({
      task: order.task,
      run: order.run,
      checkpoint: '',
      percent: 10,
      load: 0,
    }));
    this.dispatcher.handleStatus({ endpoint, running, ended, sentAt: this.now }, this.now, this.now);
  }
}

describe('room for a gang that needs whole endpoints', () => {
  const createFullCell = (isCheckpointing: boolean): SmallCell => {
    const cell = new SmallCell();
    cell.sendJob(createJob(1, PATIENT, { count: 2 * ACCELERATORS, isCheckpointing }));
    expect(cell.startRound().starts).toHaveLength(2 * ACCELERATORS);
    cell.startLooks();
    return cell;
  };

  it('is made by less urgent work that keeps checkpoints, and kept from it until the gang has started', () => {
    const cell = createFullCell(true);
    cell.sendJob(createGang(2));
    const { stops } = cell.startRound();
    expect(stops).toHaveLength(2 * ACCELERATORS);
    stops.slice(0, -1).forEach((stop) => cell.recordStopped(stop));
    expect(cell.startRound().starts).toEqual([]);
    cell.recordStopped(stops[stops.length - 1]!);
    const { starts } = cell.startRound();
    expect(starts.map(({ job }) => job)).toEqual([createGang(2).id, createGang(2).id]);
    expect(new Set(starts.map(({ endpoint }) => endpoint)).size).toBe(2);
  });

  it('is not made by work that would be lost', () => {
    const cell = createFullCell(false);
    cell.sendJob(createGang(2));
    expect(cell.startRound().stops).toEqual([]);
  });

  it('is not made in part: nobody is stopped for a gang that could not start all the same', () => {
    const cell = new SmallCell();
    cell.sendJob(createJob(1, PATIENT, { count: ACCELERATORS, isCheckpointing: true }));
    cell.startRound();
    cell.sendJob(createJob(2, PATIENT, { count: ACCELERATORS }));
    cell.startRound();
    cell.startLooks();
    cell.sendJob(createGang(3));
    expect(cell.startRound().stops).toEqual([]);
  });

  it('is not made by stopping a task over and over', () => {
    const cell = createFullCell(true);
    for (let number = 2; number < 5; number += 1) {
      cell.sendJob(createGang(number));
      const { stops } = cell.startRound();
      expect(stops.length > 0).toBe(number < 4);
      stops.forEach((stop) => cell.recordStopped(stop));
      cell.startRound();
      cell.dispatcher.handleCancel(createGang(number).id, 0);
      cell.startRound().stops.forEach((stop) => cell.recordStopped(stop));
      cell.startRound();
      cell.startLooks();
    }
  });
});

describe('room kept for the most urgent queue', () => {
  it('is not kept on a service that has no more urgent one', () => {
    const cell = new SmallCell();
    cell.sendJob(
      createJob(1, PATIENT, {
        count: 4,
        demand: { cpuMillis: 8000, memoryMb: 100, accelerators: 0 },
      }),
    );
    expect(cell.startRound().starts).toHaveLength(4);
  });

  it('is kept once such a queue was seen', () => {
    const cell = new SmallCell();
    cell.sendJob(createJob(1, URGENT, { demand: { cpuMillis: 1000, memoryMb: 100, accelerators: 0 } }));
    cell.startRound();
    cell.sendJob(
      createJob(2, PATIENT, {
        count: 30,
        demand: { cpuMillis: 1000, memoryMb: 100, accelerators: 0 },
      }),
    );
    // 32 cores, of which one is taken and 8 % are kept.
    expect(cell.startRound().starts).toHaveLength(28);
  });
});

describe('the time to wait for the answer to an order', () => {
  it('follows the answers, within bounds', () => {
    const timeout = new ResponseTimeout();
    expect(timeout.computeTimeoutMs()).toBe(500);
    for (let count = 0; count < 50; count += 1) {
      timeout.recordAnswer(3);
    }
    expect(timeout.computeTimeoutMs()).toBe(120);
    for (let count = 0; count < 50; count += 1) {
      timeout.recordAnswer(count % 2 === 0 ? 100 : 140);
    }
    expect(timeout.computeTimeoutMs()).toBeGreaterThan(150);
    expect(timeout.computeTimeoutMs()).toBeLessThan(300);
  });
});

describe('a step of several large tasks that is no gang', () => {
  const advice = { decisionMs: 100, perEndpointMs: 1, validityMs: 2000 };
  const demand = { cpuMillis: 4000, memoryMb: 100, accelerators: ACCELERATORS };
  const large = createJob(2, URGENT, { count: 4, demand });
  const advised = { ...large, queue: { ...large.queue, advice } };

  it('starts each task as soon as there is room for it', () => {
    const cell = new SmallCell();
    cell.sendJob(advised);
    const { questions } = cell.startRound();
    expect(questions.map(({ endpoints }) => endpoints.length)).toEqual([2]);
    cell.recordAdvice(questions[0]!, ['i-0']);
    expect(cell.startRound().starts).toHaveLength(1);
  });

  it('is asked about where there is room, before anybody is made to give way', () => {
    const cell = new SmallCell();
    cell.sendJob(createJob(1, PATIENT, { count: ACCELERATORS, isCheckpointing: true }));
    const { endpoint } = cell.startRound().starts[0]!;
    cell.startLooks();
    const single = createJob(2, URGENT, { count: 1, demand: { ...demand, accelerators: ACCELERATORS / 2 } });
    cell.sendJob({ ...single, queue: { ...single.queue, advice } });
    const [question] = cell.startRound().questions;
    expect(question!.endpoints).toHaveLength(1);
    expect(question!.endpoints).not.toContain(endpoint);
    cell.recordAdvice(question!, []);
    // Where there is room it may not run: now the other is worth a question, and what runs there gives way.
    const [second] = [...cell.startRound().questions, ...cell.startRound().questions];
    expect(second!.endpoints).toEqual([endpoint]);
    cell.recordAdvice(second!, [endpoint]);
    expect(cell.startRound().stops.length).toBeGreaterThan(0);
  });

  it('asks again about room for one task where fewer than all would ever fit (it once waited for all)', () => {
    const cell = new SmallCell();
    const other = createJob(1, PATIENT, { count: 2 * ACCELERATORS });
    cell.sendJob(other);
    cell.startRound();
    cell.startLooks();
    cell.sendJob(advised);
    cell.recordAdvice(cell.startRound().questions[0]!, ['i-0']);
    for (let passedMs = 0; passedMs < advice.validityMs; passedMs += 400) {
      cell.startLooks();
    }
    cell.dispatcher.handleCancel(other.id, 0);
    cell.startRound().stops.forEach((stop) => cell.recordStopped(stop));
    expect(cell.startRound().questions.map(({ endpoints }) => endpoints)).toEqual([['i-0']]);
  });
});

describe('an endpoint that left a start unanswered', () => {
  it('gets nothing more until it is heard', () => {
    const cell = new SmallCell();
    cell.sendJob(createJob(1, URGENT, {}));
    const { starts } = cell.startRound({ isAnswered: false });
    const { endpoint } = starts[0]!;
    cell.sendJob(createJob(2, URGENT, { count: ACCELERATORS + 1 }));
    const next = cell.startRound().starts;
    expect(next).toHaveLength(ACCELERATORS);
    expect(next.some((start) => start.endpoint === endpoint)).toBe(false);
    cell.startLooks();
    expect(cell.startRound().starts.map((start) => start.endpoint)).toEqual([endpoint]);
  });
});

describe('a stop without an answer', () => {
  it('is repeated soon, then less often, since the endpoint may be slow to answer', () => {
    const cell = new SmallCell();
    const definition = createJob(1, URGENT, {});
    cell.sendJob(definition);
    cell.startRound();
    cell.dispatcher.handleCancel(definition.id, 0);
    const repeats: boolean[][] = [];
    for (let round = 0; round < 10; round += 1) {
      repeats.push(cell.startRound().stops.map(({ isRepeated }) => isRepeated));
    }
    // Rounds are 100 ms apart; the first look at the time is the round after the stop.
    expect(repeats).toEqual([[false], [], [true], [], [], [], [], [], [true], []]);
  });
});
