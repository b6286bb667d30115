import { describe, expect, it } from 'vitest';
import { toId } from '../packages/common/toId';
import type { DispatchEffect } from '../packages/dispatch/DispatchEffect';
import { Dispatcher } from '../packages/dispatch/Dispatcher';
import type { EndedTaskStatus } from '../packages/dispatch/endpoints/EndedTaskStatus';
import type { EndpointIncarnation } from '../packages/jobs/EndpointIncarnation';
import { JobProgress } from '../packages/jobs/JobProgress';
import type { ServiceName } from '../packages/jobs/ServiceName';
import type { TaskName } from '../packages/jobs/TaskName';
import { createPlacedRun } from '../packages/dispatch/runs/createPlacedRun';
import { createLedger } from '../packages/ledger/createLedger';
import type { LedgerCause } from '../packages/ledger/LedgerCause';
import { readJobHistories } from '../packages/ledger/readJobHistories';
import { chooseCriticalPath } from '../packages/ledger/chooseCriticalPath';
import { DecisionLog } from '../packages/logging/DecisionLog';
import { formatLateJob } from '../packages/logging/formatLateJob';
import { JobTrace } from '../packages/logging/JobTrace';
import { computeJobSamplingLevel } from '../packages/logging/computeJobSamplingLevel';
import { createJobDefinition } from './helpers/createJobDefinition';
import { createProfile } from './helpers/createProfile';
import { createStep } from './helpers/createStep';

const TICK_MS = 10;
const LOAD_MS = 8000;
const WALL_MS = 1_767_225_600_000;
const WORK_MS = 400;
/** Time that a run continues after its stop. */
const STOP_MS = 700;
/** Bound of the log in lines per second, a fifth of the lines that are logged. */
const BOUND = 400;
const JOBS_PER_TICK = 3;
/** One job in this many has a fault. */
const FAULT_INTERVAL = 12;
const WIDE = toId<ServiceName>('service-a');
const NARROW = toId<ServiceName>('service-b');

/** Fault of the first run of a job's last task, and the cause by which its time must be explained. */
interface Fault {
  readonly expected: LedgerCause;
  readonly workMs: number;
  readonly how: EndedTaskStatus['how'];
}

const FAULTS: readonly Fault[] = [
  { expected: 'running', workMs: 1200, how: 'done' },
  { expected: 'failed', workMs: 800, how: 'failed' },
  { expected: 'lost', workMs: 800, how: 'lapsed' },
  // A straggler that is moved, and slow to stop.
  { expected: 'stopped', workMs: 20_000, how: 'done' },
];

interface SimulatedRun {
  readonly task: TaskName;
  readonly run: number;
  readonly startedAt: number;
  readonly endsAt: number;
  readonly how: EndedTaskStatus['how'];
}

/**
 * Simulated load of 300 jobs and about 2,000 lines per second. One job in twelve has a fault, which alone makes it late, and bursts on a
 * small service make jobs late by missing capacity.
 */
class LateJobSimulation {
  readonly lines: string[] = [];
  readonly expected = new Map<string, LedgerCause>();
  readonly late = new Set<string>();
  private now = 0;
  private jobCount = 0;
  private endCount = 0;
  private readonly dispatcher = new Dispatcher({ getDefinition: () => undefined, earlierLeasesEndAt: 0 });
  private readonly running = new Map<EndpointIncarnation, SimulatedRun[]>();
  private readonly faults = new Map<string, Fault>();
  private readonly objectives = new Map<string, number>();
  private readonly log = new DecisionLog({
    box: 'box-1',
    writeLine: (line) => this.lines.push(line),
    getBacklogBytes: () => 0,
    getNow: () => this.now,
    getWallMs: () => this.now + WALL_MS,
    maxLinesPerSecond: BOUND,
  });
  private readonly logger = this.log.createLogger('leader');

  constructor() {
    const capacity = { cpuMillis: 64_000, memoryMb: 64_000, accelerators: 0 };
    const wide = Array.from({ length: 20 }, (_, number) => createProfile(`i-${number}`, { capacity }));
    const narrow = ['n-1', 'n-2'].map((id) => createProfile(id, { service: NARROW }));
    for (const profile of [...wide, ...narrow]) {
      this.dispatcher.handleEndpointProfile(profile);
      const status = { endpoint: profile.incarnation, running: [], ended: [], pollSentAt: 0 };
      this.dispatcher.handleStatus(status, 0, WALL_MS);
      this.running.set(profile.incarnation, []);
    }
  }

  start(): void {
    for (; this.now < LOAD_MS + 4000; this.now += TICK_MS) {
      this.handleRunEnds();
      if (this.now < LOAD_MS) {
        this.sendJobs();
      }
      if (this.now % 100 === 0) {
        this.dispatcher.handleTick(this.now);
      }
      this.dispatcher.placeWaiting(this.now, this.now + WALL_MS);
      this.dispatcher.takeEffects().forEach((effect) => this.applyEffect(effect));
    }
    this.log.stop();
  }

  private sendJobs(): void {
    for (let count = 0; count < JOBS_PER_TICK; count += 1) {
      const isFaulty = this.jobCount % FAULT_INTERVAL === 0;
      this.sendJob(WIDE, isFaulty ? FAULTS[(this.jobCount / FAULT_INTERVAL) % FAULTS.length] : undefined);
    }
    if (this.now % 2000 === 1000) {
      Array.from({ length: 12 }).forEach(() => this.sendJob(NARROW, undefined));
    }
  }

  private sendJob(service: ServiceName, fault: Fault | undefined): void {
    const steps = [createStep(), createStep({ count: 1, dependsOn: [0] })];
    const isWide = service === WIDE;
    const definition = {
      ...createJobDefinition((this.jobCount += 1), isWide ? steps : steps.slice(0, 1), { service }),
      acceptedAtMs: this.now + WALL_MS,
    };
    const { id, queue } = definition;
    this.logger.info('Job accepted.', { job: id, queue: queue.name, tookMs: 0 });
    this.logger.info('Job taken in.', { job: id, queue: queue.name, steps: definition.steps.length });
    this.dispatcher.handleJob(definition, new JobProgress(definition), this.now);
    this.objectives.set(id, this.now + queue.targetLatencyMs + queue.stretch * WORK_MS * (isWide ? 2 : 1));
    this.expected.set(id, isWide ? (fault?.expected ?? 'running') : 'room');
    if (fault !== undefined) {
      this.faults.set(`${id}.0.1.0#1`, fault);
    }
  }

  private applyEffect(effect: DispatchEffect): void {
    if (effect.kind === 'start') {
      this.startRun(effect);
    } else if (effect.kind === 'stop') {
      this.stopRun(effect);
    } else if (effect.kind === 'tell') {
      this.logger.info(effect.message, effect.fields);
      const job = String(effect.fields['job']);
      if (effect.message === 'Job ended.' && this.now > this.objectives.get(job)!) {
        this.late.add(job);
      }
    }
  }

  private startRun(effect: Extract<DispatchEffect, { kind: 'start' }>): void {
    const { endpoint, command } = effect;
    this.dispatcher.handleStartRecorded(effect, this.now);
    this.dispatcher.handleStartResult(endpoint, command.task, command.run, { kind: 'done' }, this.now);
    const { workMs, how } = this.faults.get(`${command.task}#${command.run}`) ?? {
      workMs: WORK_MS,
      how: 'done',
    };
    const startedAt = this.now;
    const run = { task: command.task, run: command.run, startedAt, endsAt: startedAt + workMs, how };
    this.running.get(endpoint)!.push(run);
  }

  private stopRun({ endpoint, task, run }: Extract<DispatchEffect, { kind: 'stop' }>): void {
    const runs = this.running.get(endpoint)!.map((one): SimulatedRun => {
      const isStopped = one.task === task && one.run === run;
      return isStopped ? { ...one, endsAt: this.now + STOP_MS, how: 'stopped' } : one;
    });
    this.running.set(endpoint, runs);
    this.dispatcher.handleStopResult(endpoint, task, run, { kind: 'done' }, this.now);
  }

  private handleRunEnds(): void {
    for (const [endpoint, runs] of this.running) {
      const done = runs.filter(({ endsAt }) => endsAt <= this.now);
      const left = runs.filter(({ endsAt }) => endsAt > this.now);
      const ended = done.map(({ task, run, how }) => this.createEnd(task, run, how));
      this.running.set(endpoint, left);
      if (ended.length > 0 || this.now % 100 === 0) {
        const rows = left.map(({ task, run, startedAt, endsAt }) => ({
          task,
          run,
          checkpoint: '',
          percent: Math.floor((100 * (this.now - startedAt)) / (endsAt - startedAt)),
          load: 0,
        }));
        const status = { endpoint, running: rows, ended, pollSentAt: this.now };
        this.dispatcher.handleStatus(status, this.now, this.now + WALL_MS);
      }
    }
  }

  private createEnd(task: TaskName, run: number, how: EndedTaskStatus['how']): EndedTaskStatus {
    return { number: (this.endCount += 1), task, run, how, checkpoint: '' };
  }
}

const runSimulation = (): LateJobSimulation => {
  const simulation = new LateJobSimulation();
  simulation.start();
  return simulation;
};

describe('jobs that end late while the log can hold a fifth of the lines', () => {
  const simulation = runSimulation();
  const accounts = new Map(readJobHistories(simulation.lines).map((account) => [account.job, account]));

  it('are each logged with the cause', () => {
    expect(simulation.late.size).toBeGreaterThan(150);
    const found = [...simulation.late].map((job): readonly unknown[] => {
      const account = accounts.get(job);
      const path = account === undefined ? [] : chooseCriticalPath(account);
      const sums = new Map<LedgerCause, number>();
      // The usual run time is no cause of a late end.
      path.forEach(({ cause, from, to }) => sums.set(cause, (sums.get(cause) ?? 0) + to - from));
      sums.set(
        'running',
        (sums.get('running') ?? 0) - (simulation.expected.get(job) === 'room' ? 1 : 2) * WORK_MS,
      );
      const totalMs = path.reduce((sum, { from, to }) => sum + to - from, 0);
      const [cause] = [...sums].sort(([, left], [, right]) => right - left)[0] ?? [];
      return [job, cause, (sums.get('unknown') ?? 0) < totalMs / 10];
    });
    expect(found).toEqual([...simulation.late].map((job) => [job, simulation.expected.get(job), true]));
    expect(new Set(found.map(([, cause]) => cause)).size).toBe(FAULTS.length + 1);
  });

  it('have the runs that made them late in one line, with endpoint, end and reason of the stop', () => {
    const logged = simulation.lines.filter((line) => line.includes('"Job ended late."'));
    expect(logged).toHaveLength(simulation.late.size);
    const rows = logged.flatMap(
      (line) => (JSON.parse(line) as { readonly runs: readonly Readonly<Record<string, unknown>>[] }).runs,
    );
    const listRows = (how: string) => rows.filter((row) => row['how'] === how);
    expect(listRows('failed')[0]).toMatchObject({ outcome: 'failed', hall: 'hall-a' });
    expect(listRows('lapsed')[0]).toMatchObject({ outcome: 'interrupted' });
    expect(listRows('stopped').length).toBeGreaterThan(20);
    expect(listRows('stopped').map((row) => row['why'])).toEqual(listRows('stopped').map(() => 'slow'));
    expect(rows.every((row) => /^[in]-\d+$/u.test(String(row['endpoint'])))).toBe(true);
    expect(Math.max(...logged.map(({ length }) => length))).toBeLessThan(2000);
  });

  it('leave capacity for other lines: the log keeps to its bound, and the smallest sample of jobs is complete', () => {
    const seconds = (LOAD_MS + 4000) / 1000;
    expect(simulation.lines.length).toBeLessThan(BOUND * (4 + seconds) + seconds);
    const chosen = [...simulation.expected.keys()].filter((job) => computeJobSamplingLevel(job) >= 4);
    expect(chosen.length).toBeGreaterThan(100);
    const paths = chosen.map((job) => chooseCriticalPath(accounts.get(job)!));
    expect(paths.flat().filter(({ cause }) => cause === 'unknown')).toEqual([]);
  });

  it('have less than a tenth of their time without a cause in the ledger', () => {
    const late = [...simulation.late].map((job) => accounts.get(job)!);
    const { queues } = createLedger(late, { windowMs: 2000, slowestCount: 1 });
    const { sums } = queues[0]!;
    expect(sums.getMeanMs('unknown')).toBeLessThan(sums.getMeanTotalMs() / 10);
  });
});

/** Simulates the end of a job's only run under a new leader, and returns the fields of its line. */
const runRecovered = (leaderAt: number, endsAt: number): Readonly<Record<string, unknown>> | undefined => {
  const definition = createJobDefinition(1, [createStep({ count: 1 })]);
  const progress = new JobProgress(definition);
  const { incarnation: endpoint } = createProfile('i-1');
  progress.recordRunPlaced({ repetition: 0, step: 0, index: 0 }, 1, endpoint);
  const dispatcher = new Dispatcher({ getDefinition: () => definition, earlierLeasesEndAt: leaderAt + 100 });
  dispatcher.handleEndpointProfile(createProfile('i-1'));
  dispatcher.handleJob(definition, progress, leaderAt);
  const row = { number: 1, task: toId<TaskName>(`${definition.id}.0.0.0`), run: 1, checkpoint: '' };
  const status = { endpoint, running: [], ended: [{ ...row, how: 'done' as const }], pollSentAt: endsAt };
  dispatcher.handleStatus(status, endsAt, endsAt);
  const tell = dispatcher
    .takeEffects()
    .find((effect) => effect.kind === 'tell' && effect.message === 'Job ended late.');
  return tell?.kind === 'tell' ? tell.fields : undefined;
};

describe('a job whose leader changes while it runs', () => {
  const definition = createJobDefinition(1, [createStep({ count: 1 })]);
  const toLine = (atMs: number, message: string, fields: object): string =>
    JSON.stringify({ time: new Date(atMs).toISOString(), box: 'box-1', part: 'leader', message, ...fields });
  const task = `${definition.id}.0.0.0`;
  const job = definition.id;
  const earlier = [
    toLine(1, 'Job accepted.', { job, queue: 'jobs', tookMs: 0 }),
    toLine(1, 'Job taken in.', { job, queue: 'jobs' }),
    toLine(901, 'Tasks placed.', { job, waits: { room: 900 }, placed: [{ task, run: 1 }] }),
  ];

  it('is explained by the next leader for its own time, and the ledger joins the lines of both', () => {
    const logged = runRecovered(1000, 1300)!;
    expect(logged['causes']).toEqual({ handOver: 999, running: 300 });
    const late = toLine(1300, 'Job ended late.', logged);
    const [alone] = readJobHistories([late]);
    expect(chooseCriticalPath(alone!).map(({ cause }) => cause)).toEqual(['handOver', 'running']);
    const ended = toLine(1300, 'Run ended.', { job, task, run: 1, outcome: 'done' });
    const [joined] = readJobHistories([...earlier, ended, late]);
    const path = chooseCriticalPath(joined!).map(({ cause, from, to }) => [cause, to - from]);
    expect(path).toEqual([
      ['room', 900],
      ['running', 399],
    ]);
  });

  it('is explained by the lines of the earlier leader until the next one took over, when lines of the next one are missing', () => {
    const logged = runRecovered(4000, 4300)!;
    const lines = [
      ...earlier.slice(0, 2),
      toLine(2001, 'Step waits.', {
        queue: 'jobs',
        rows: [{ job, step: `${job}.0.0`, waits: { room: 2000 } }],
      }),
      toLine(4003, 'Leading.', { epoch: 2 }),
      toLine(4300, 'Job ended late.', logged),
    ];
    const [account] = readJobHistories(lines);
    const path = chooseCriticalPath(account!).map(({ cause, from, to }) => [cause, to - from]);
    expect(path).toEqual([
      ['room', 2000],
      ['leader', 1999],
      ['running', 300],
    ]);
  });

  it('has no line when it ends in time', () => {
    expect(runRecovered(500, 800)).toBeUndefined();
  });
});

describe('the trace of a live job', () => {
  it('is bounded, and keeps the runs that the end depended on', () => {
    const definition = createJobDefinition(1, [createStep({ count: 500 })]);
    const trace = new JobTrace(1);
    for (let index = 0; index < 500; index += 1) {
      const run = createPlacedRun(definition, { repetition: 0, step: 0, index }, 1, 10);
      const end = { outcome: 'done', evidence: 'listed', reportedEnd: 'done', checkpoint: '' } as const;
      trace.recordRunEnd(run, createProfile(`i-${index}`), end, 1000 + index);
    }
    const account = trace.createHistory(definition, 'completed', 1499);
    expect(account.runs.size).toBe(48);
    const line = formatLateJob(account, 1);
    expect(line['runs']).toMatchObject([{ endpoint: 'i-499', outcome: 'done', how: 'done', ms: 1489 }]);
    expect(line['causes']).toEqual({ unknown: 9, running: 1489 });
  });
});
