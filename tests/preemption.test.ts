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
type AdviceRequest = Extract<DispatchEffect, { kind: 'advise' }>;

interface RoundOutcome {
  readonly starts: readonly StartEffect[];
  readonly stops: readonly StopEffect[];
  readonly requests: readonly AdviceRequest[];
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

/** Two endpoints of eight accelerators each. Starts are confirmed at once and listed by polls. */
class SmallCluster {
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
    this.runPolls();
  }

  sendJob(definition: JobDefinition): void {
    this.dispatcher.handleJob(definition, new JobProgress(definition), this.now);
  }

  /** Runs one round, carries out its starts, and returns its effects. */
  runRound({ isAnswered } = { isAnswered: true }): RoundOutcome {
    this.now += 100;
    this.dispatcher.handleTick(this.now);
    this.dispatcher.placeWaiting(this.now, this.now);
    const effects = this.dispatcher.takeEffects();
    const starts = effects.filter((effect): effect is StartEffect => effect.kind === 'start');
    for (const start of starts) {
      this.dispatcher.handleStartRecorded(start, this.now);
      const { endpoint, command } = start;
      this.dispatcher.getEndpointState(endpoint)?.recordLease(this.now + LEASE_MS);
      const result = isAnswered ? ({ kind: 'done' } as const) : ({ kind: 'unanswered', detail: '' } as const);
      this.dispatcher.handleStartResult(endpoint, command.task, command.run, result, this.now);
      if (isAnswered) {
        this.running.get(endpoint)!.push(start);
      }
    }
    return {
      starts,
      stops: effects.filter((effect): effect is StopEffect => effect.kind === 'stop'),
      requests: effects.filter((effect): effect is AdviceRequest => effect.kind === 'advise'),
    };
  }

  /** Responds to an advice request: the accepted endpoints may run the step. */
  sendAdvice({ step, candidates }: AdviceRequest, accepted: readonly string[]): void {
    const tickets = new Map(accepted.map((id) => [toId<EndpointIncarnation>(id), 'ticket']));
    this.dispatcher.handleAdviceResponse(step, candidates, tickets, this.now);
  }

  /** Ends a stopped run and reports it by a poll. */
  sendStopped({ endpoint, task, run }: StopEffect): void {
    const runs = this.running.get(endpoint)!;
    const remaining = runs.filter(({ command }) => command.task !== task);
    this.running.set(endpoint, remaining);
    const ended = [{ number: 1, task, run, how: 'stopped', checkpoint: 'saved' } as const];
    this.sendStatus(endpoint, ended);
  }

  /** Lets some time pass and reports the running tasks by polls. */
  runPolls(): void {
    this.now += 400;
    [...this.running.keys()].forEach((endpoint) => this.sendStatus(endpoint, []));
  }

  private sendStatus(
    endpoint: EndpointIncarnation,
    ended: Parameters<Dispatcher['handleStatus']>[0]['ended'],
  ): void {
    const running = this.running.get(endpoint)!.map(({ command }) => ({
      task: command.task,
      run: command.run,
      checkpoint: '',
      percent: 10,
      load: 0,
    }));
    this.dispatcher.handleStatus({ endpoint, running, ended, pollSentAt: this.now }, this.now, this.now);
  }
}

describe('preemption for a gang that needs whole endpoints', () => {
  const createFullCluster = (isCheckpointing: boolean): SmallCluster => {
    const cluster = new SmallCluster();
    cluster.sendJob(createJob(1, PATIENT, { count: 2 * ACCELERATORS, isCheckpointing }));
    expect(cluster.runRound().starts).toHaveLength(2 * ACCELERATORS);
    cluster.runPolls();
    return cluster;
  };

  it('stops less urgent runs that keep checkpoints, and reserves the endpoints until the gang has started', () => {
    const cluster = createFullCluster(true);
    cluster.sendJob(createGang(2));
    const { stops } = cluster.runRound();
    expect(stops).toHaveLength(2 * ACCELERATORS);
    stops.slice(0, -1).forEach((stop) => cluster.sendStopped(stop));
    expect(cluster.runRound().starts).toEqual([]);
    cluster.sendStopped(stops[stops.length - 1]!);
    const { starts } = cluster.runRound();
    expect(starts.map(({ job }) => job)).toEqual([createGang(2).id, createGang(2).id]);
    expect(new Set(starts.map(({ endpoint }) => endpoint)).size).toBe(2);
  });

  it('does not stop runs without checkpoints', () => {
    const cluster = createFullCluster(false);
    cluster.sendJob(createGang(2));
    expect(cluster.runRound().stops).toEqual([]);
  });

  it('does not stop any run when the gang could not start as a whole', () => {
    const cluster = new SmallCluster();
    cluster.sendJob(createJob(1, PATIENT, { count: ACCELERATORS, isCheckpointing: true }));
    cluster.runRound();
    cluster.sendJob(createJob(2, PATIENT, { count: ACCELERATORS }));
    cluster.runRound();
    cluster.runPolls();
    cluster.sendJob(createGang(3));
    expect(cluster.runRound().stops).toEqual([]);
  });

  it('does not stop a task more than twice', () => {
    const cluster = createFullCluster(true);
    for (let number = 2; number < 5; number += 1) {
      cluster.sendJob(createGang(number));
      const { stops } = cluster.runRound();
      expect(stops.length > 0).toBe(number < 4);
      stops.forEach((stop) => cluster.sendStopped(stop));
      cluster.runRound();
      cluster.dispatcher.handleCancel(createGang(number).id, 0);
      cluster.runRound().stops.forEach((stop) => cluster.sendStopped(stop));
      cluster.runRound();
      cluster.runPolls();
    }
  });
});

describe('the reserve for the most urgent queue', () => {
  it('is empty for a service that no more urgent queue uses', () => {
    const cluster = new SmallCluster();
    cluster.sendJob(
      createJob(1, PATIENT, {
        count: 4,
        demand: { cpuMillis: 8000, memoryMb: 100, accelerators: 0 },
      }),
    );
    expect(cluster.runRound().starts).toHaveLength(4);
  });

  it('is held back once such a queue was seen', () => {
    const cluster = new SmallCluster();
    cluster.sendJob(createJob(1, URGENT, { demand: { cpuMillis: 1000, memoryMb: 100, accelerators: 0 } }));
    cluster.runRound();
    cluster.sendJob(
      createJob(2, PATIENT, {
        count: 30,
        demand: { cpuMillis: 1000, memoryMb: 100, accelerators: 0 },
      }),
    );
    // Of 32 cores one is in use and 8 % are reserved.
    expect(cluster.runRound().starts).toHaveLength(28);
  });
});

describe('the timeout for the response to a command', () => {
  it('follows the response times, within bounds', () => {
    const timeout = new ResponseTimeout();
    expect(timeout.computeTimeoutMs()).toBe(500);
    for (let count = 0; count < 50; count += 1) {
      timeout.recordResponseTime(3);
    }
    expect(timeout.computeTimeoutMs()).toBe(120);
    for (let count = 0; count < 50; count += 1) {
      timeout.recordResponseTime(count % 2 === 0 ? 100 : 140);
    }
    expect(timeout.computeTimeoutMs()).toBeGreaterThan(150);
    expect(timeout.computeTimeoutMs()).toBeLessThan(300);
  });
});

describe('a step of several large tasks that is not a gang', () => {
  const advice = { decisionMs: 100, perEndpointMs: 1, validityMs: 2000 };
  const demand = { cpuMillis: 4000, memoryMb: 100, accelerators: ACCELERATORS };
  const large = createJob(2, URGENT, { count: 4, demand });
  const advised = { ...large, queue: { ...large.queue, advice } };

  it('starts each task as soon as there is capacity for it', () => {
    const cluster = new SmallCluster();
    cluster.sendJob(advised);
    const { requests } = cluster.runRound();
    expect(requests.map(({ candidates }) => candidates.length)).toEqual([2]);
    cluster.sendAdvice(requests[0]!, ['i-0']);
    expect(cluster.runRound().starts).toHaveLength(1);
  });

  it('requests advice about endpoints with free capacity before any run is preempted', () => {
    const cluster = new SmallCluster();
    cluster.sendJob(createJob(1, PATIENT, { count: ACCELERATORS, isCheckpointing: true }));
    const { endpoint } = cluster.runRound().starts[0]!;
    cluster.runPolls();
    const single = createJob(2, URGENT, { count: 1, demand: { ...demand, accelerators: ACCELERATORS / 2 } });
    cluster.sendJob({ ...single, queue: { ...single.queue, advice } });
    const [request] = cluster.runRound().requests;
    expect(request!.candidates).toHaveLength(1);
    expect(request!.candidates).not.toContain(endpoint);
    cluster.sendAdvice(request!, []);
    // The free endpoint was refused: advice is requested about the other one, and runs there are preempted.
    const [second] = [...cluster.runRound().requests, ...cluster.runRound().requests];
    expect(second!.candidates).toEqual([endpoint]);
    cluster.sendAdvice(second!, [endpoint]);
    expect(cluster.runRound().stops.length).toBeGreaterThan(0);
  });

  it('requests advice again for one task, although not all tasks would ever fit', () => {
    const cluster = new SmallCluster();
    const other = createJob(1, PATIENT, { count: 2 * ACCELERATORS });
    cluster.sendJob(other);
    cluster.runRound();
    cluster.runPolls();
    cluster.sendJob(advised);
    cluster.sendAdvice(cluster.runRound().requests[0]!, ['i-0']);
    for (let passedMs = 0; passedMs < advice.validityMs; passedMs += 400) {
      cluster.runPolls();
    }
    cluster.dispatcher.handleCancel(other.id, 0);
    cluster.runRound().stops.forEach((stop) => cluster.sendStopped(stop));
    expect(cluster.runRound().requests.map(({ candidates }) => candidates)).toEqual([['i-0']]);
  });
});

describe('an endpoint that did not respond to a start command', () => {
  it('gets no more starts until it responds to a poll', () => {
    const cluster = new SmallCluster();
    cluster.sendJob(createJob(1, URGENT, {}));
    const { starts } = cluster.runRound({ isAnswered: false });
    const { endpoint } = starts[0]!;
    cluster.sendJob(createJob(2, URGENT, { count: ACCELERATORS + 1 }));
    const next = cluster.runRound().starts;
    expect(next).toHaveLength(ACCELERATORS);
    expect(next.some((start) => start.endpoint === endpoint)).toBe(false);
    cluster.runPolls();
    expect(cluster.runRound().starts.map((start) => start.endpoint)).toEqual([endpoint]);
  });
});

describe('a stop command without a response', () => {
  it('is repeated soon, then less often, since the endpoint may be slow to respond', () => {
    const cluster = new SmallCluster();
    const definition = createJob(1, URGENT, {});
    cluster.sendJob(definition);
    cluster.runRound();
    cluster.dispatcher.handleCancel(definition.id, 0);
    const repeats: boolean[][] = [];
    for (let round = 0; round < 10; round += 1) {
      repeats.push(cluster.runRound().stops.map(({ isRepeated }) => isRepeated));
    }
    // Rounds are 100 ms apart. The time is first checked in the round after the stop.
    expect(repeats).toEqual([[false], [], [true], [], [], [], [], [], [true], []]);
  });
});
