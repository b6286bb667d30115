import { describe, expect, it } from 'vitest';
import { createRandom } from '../packages/common/createRandom';
import { DecisionLog } from '../packages/logging/DecisionLog';
import { LineBatcher } from '../packages/logging/LineBatcher';
import { getLineClass } from '../packages/logging/getLineClass';
import { findLineJob } from '../packages/logging/findLineJob';
import { computeJobSamplingLevel } from '../packages/logging/computeJobSamplingLevel';
import { readJobLines } from '../packages/timeline/readJobLines';

const BOUND = 400;
const BURST = 4 * BOUND;

interface WrittenLine {
  readonly time: string;
  readonly message: string;
  readonly job?: string;
  readonly total?: number;
  readonly share?: string;
  readonly counts?: Readonly<Record<string, number>>;
}

/** A log with a simulated clock, and the lines that it has written. */
class LogFixture {
  readonly written: WrittenLine[] = [];
  now = 0;
  backlogBytes = 0;
  readonly log = new DecisionLog({
    box: 'box-1',
    writeLine: (line) => this.written.push(JSON.parse(line) as WrittenLine),
    getBacklogBytes: () => this.backlogBytes,
    getNow: () => this.now,
    getWallMs: () => this.now,
    maxLinesPerSecond: BOUND,
  });
  readonly logger = this.log.createLogger('leader');

  listMessages(): readonly string[] {
    return this.written.map(({ message }) => message);
  }

  listLines(message: string): readonly WrittenLine[] {
    return this.written.filter((line) => line.message === message);
  }

  /** Sums the counts of suppressed lines over all reports. */
  countSuppressed(): Readonly<Record<string, number>> {
    const sums: Record<string, number> = {};
    for (const { counts = {} } of this.listLines('Lines left out.')) {
      for (const [message, count] of Object.entries(counts)) {
        sums[message] = (sums[message] ?? 0) + count;
      }
    }
    return sums;
  }
}

const createJobIds = (count: number, seed = 1): readonly string[] => {
  const random = createRandom(seed);
  const createDigits = (): string =>
    Math.floor(random() * 2 ** 32)
      .toString(16)
      .padStart(8, '0');
  return Array.from({ length: count }, () => `${createDigits()}${createDigits()}`);
};

const JOB_MESSAGES = ['Job taken in.', 'Advice received.', 'Tasks placed.', 'Run ended.', 'Job ended.'];

/** Creates the fields of a line of a job, which name the job or its step. */
const createJobFields = (message: string, job: string): Record<string, unknown> =>
  message === 'Advice received.' ? { step: `${job}.0.0` } : { job };

/**
 * Logs jobs that arrive evenly, each with lines over half a second, beside a warning and a moved run each 50 ms. Returns the ids of the jobs.
 */
const runLoad = (
  fixture: LogFixture,
  jobsPerSecond: number,
  seconds: number,
  seed = 1,
): readonly string[] => {
  const jobs = createJobIds(jobsPerSecond * seconds, seed);
  const startedAt = fixture.now;
  const events: { readonly at: number; readonly send: () => void }[] = jobs.flatMap((job, index) =>
    JOB_MESSAGES.map((message, part) => ({
      at: startedAt + (index * 1000) / jobsPerSecond + part * 125,
      send: () => fixture.logger.info(message, createJobFields(message, job)),
    })),
  );
  for (let at = startedAt; at < startedAt + seconds * 1000; at += 50) {
    events.push({ at, send: () => fixture.logger.warn('Something is odd.') });
    events.push({ at, send: () => fixture.logger.info('Run moved.', { job: jobs[0] }) });
  }
  events.sort((left, right) => left.at - right.at);
  for (const { at, send } of events) {
    fixture.now = at;
    send();
  }
  return jobs;
};

/** Lists the jobs of which the log has all lines. */
const listCompleteJobs = (fixture: LogFixture, jobs: readonly string[]): readonly string[] => {
  const lengths = new Map<string, number>();
  for (const line of fixture.written) {
    const job = JOB_MESSAGES.includes(line.message) ? findLineJob({ ...line }) : undefined;
    if (job !== undefined) {
      lengths.set(job, (lengths.get(job) ?? 0) + 1);
    }
  }
  return jobs.filter((job) => lengths.get(job) === JOB_MESSAGES.length);
};

describe('a bounded log', () => {
  it('keeps to its bound, counts suppressed lines by message, and always writes errors', () => {
    const fixture = new LogFixture();
    Array.from({ length: BURST + 60 }).forEach(() => fixture.logger.info('Something.'));
    expect(fixture.written).toHaveLength(BURST);
    fixture.logger.error('Something worse.');
    expect(fixture.listMessages()[BURST]).toBe('Something worse.');
    fixture.now = 1000;
    fixture.logger.info('Something.');
    const [report] = fixture.listLines('Lines left out.');
    expect(report).toMatchObject({ total: 60, sinceMs: 1000, counts: { 'Something.': 60 } });
    expect(fixture.listMessages().slice(-2)).toEqual(['Lines left out.', 'Something.']);
  });

  it('reports suppressed lines once a second, even without further lines, and when the process ends', () => {
    const fixture = new LogFixture();
    Array.from({ length: BURST + 7 }).forEach(() => fixture.logger.info('Something.'));
    fixture.now = 999;
    fixture.log.logSuppressedWhenDue();
    expect(fixture.countSuppressed()).toEqual({});
    fixture.now = 1000;
    fixture.log.logSuppressedWhenDue();
    fixture.log.logSuppressedWhenDue();
    expect(fixture.countSuppressed()).toEqual({ 'Something.': 7 });
    Array.from({ length: BOUND + 5 }).forEach(() => fixture.logger.info('Something.'));
    fixture.log.stop();
    fixture.log.stop();
    expect(fixture.listLines('Lines left out.').map(({ total }) => total)).toEqual([7, 6]);
  });

  it('writes nothing while its reader is blocked, and reports the suppressed lines afterwards', () => {
    const fixture = new LogFixture();
    fixture.backlogBytes = 2_000_000;
    fixture.logger.info('Something.');
    fixture.logger.warn('Something odd.');
    fixture.now = 2000;
    fixture.log.logSuppressedWhenDue();
    expect(fixture.written).toHaveLength(0);
    fixture.backlogBytes = 0;
    fixture.log.logSuppressedWhenDue();
    expect(fixture.countSuppressed()).toEqual({ 'Something.': 1, 'Something odd.': 1 });
  });
});

describe('the class of a line', () => {
  it('depends on its level, its message and whether it names a job; unknown messages about a job are sampled', () => {
    expect(getLineClass('error', 'Tasks placed.', { job: 'a' })).toBe('error');
    expect(getLineClass('warn', 'Tasks placed.', { job: 'a' })).toBe('vital');
    expect(getLineClass('info', 'Leader changed.', { epoch: 2 })).toBe('vital');
    expect(getLineClass('info', 'Job ended late.', { job: 'a' })).toBe('vital');
    expect(getLineClass('info', 'Run moved.', { job: 'a' })).toBe('notable');
    expect(getLineClass('info', 'Run moved.', { rows: [] })).toBe('notable');
    expect(getLineClass('info', 'Never heard of.', { job: 'a' })).toBe('story');
    expect(getLineClass('info', 'Never heard of.', { step: 'a.0.1' })).toBe('story');
    expect(getLineClass('info', 'Never heard of.', undefined)).toBe('vital');
  });

  it('finds the job in its own field, a step or a task', () => {
    expect(findLineJob({ job: 'a' })).toBe('a');
    expect(findLineJob({ step: 'b.0.1' })).toBe('b');
    expect(findLineJob({ task: 'c.0.1.7', run: 1 })).toBe('c');
    expect(findLineJob({ endpoint: 'i-1', job: '' })).toBeUndefined();
  });
});

describe('batched lines', () => {
  const toFields = (job: string, step: string) => ({
    job,
    task: `${job}.0.0.0`,
    run: 1,
    endpoint: 'i-1',
    percent: 5,
    for: step,
  });

  it('are combined into one line with rows, and a single one has the usual form', () => {
    const fixture = new LogFixture();
    const batcher = new LineBatcher(fixture.logger);
    ['a', 'b', 'c'].forEach((job) => batcher.recordLine('Run preempted.', toFields(job, 'x.0.0'), 0));
    batcher.recordLine('Run preempted.', toFields('d', 'y.0.0'), 0);
    batcher.recordLine('Job ended.', { job: 'a' }, 0);
    batcher.writeDueBatches(20);
    expect(fixture.listMessages()).toEqual(['Job ended.']);
    batcher.writeDueBatches(100);
    const [whole, single] = fixture.listLines('Run preempted.');
    expect(whole).toMatchObject({ for: 'x.0.0', rows: [{ job: 'a' }, { job: 'b' }, { job: 'c' }] });
    expect(single).toMatchObject({ for: 'y.0.0', job: 'd', percent: 5 });
  });

  it('are written early when a batch is full, and all on stop, and each job is found by its row', () => {
    const fixture = new LogFixture();
    const batcher = new LineBatcher(fixture.logger);
    const jobs = Array.from({ length: 100 }, (_, number) => `job-${number}`);
    jobs.forEach((job) => batcher.recordLine('Run moved.', { ...toFields(job, 'x'), reason: 'slow' }, 0));
    expect(fixture.written).toHaveLength(2);
    batcher.stop();
    expect(fixture.written).toHaveLength(3);
    const texts = fixture.written.map((line) => JSON.stringify(line));
    expect(
      jobs.map((job) => readJobLines(texts, job).map(({ rows }) => rows?.map((row) => row.job))),
    ).toEqual(jobs.map((job) => [[job]]));
  });
});

describe('sampling of jobs', () => {
  it('halves the jobs with each level, by the id alone, even for consecutive ids', () => {
    const counted = Array.from({ length: 8192 }, (_, index) => index.toString(16).padStart(16, '0'));
    for (const ids of [createJobIds(8192), counted]) {
      const levels = ids.map(computeJobSamplingLevel);
      for (const level of [1, 2, 3, 4]) {
        const share = levels.filter((one) => one >= level).length / ids.length;
        expect(share * 2 ** level).toBeGreaterThan(0.8);
        expect(share * 2 ** level).toBeLessThan(1.2);
      }
    }
  });

  it('logs every job completely while all lines fit', () => {
    const fixture = new LogFixture();
    const jobs = runLoad(fixture, 40, 10);
    expect(listCompleteJobs(fixture, jobs)).toEqual(jobs);
    expect(fixture.countSuppressed()).toEqual({});
  });

  it('logs one job in sixteen completely at four times the bound, with every vital line, within the bound', () => {
    const fixture = new LogFixture();
    const jobs = runLoad(fixture, 300, 20);
    fixture.now += 1000;
    fixture.log.logSuppressedWhenDue();
    const chosen = jobs.filter((job) => computeJobSamplingLevel(job) >= 4);
    expect(chosen.length).toBeGreaterThan(jobs.length / 20);
    expect(listCompleteJobs(fixture, chosen)).toEqual(chosen);
    expect(fixture.listLines('Something is odd.')).toHaveLength(400);
    expect(fixture.listLines('Run moved.')).toHaveLength(400);
    const reports = fixture.listLines('Lines left out.').length;
    expect(reports).toBeGreaterThanOrEqual(15);
    expect(reports).toBeLessThanOrEqual(21);
    expect(fixture.written.length).toBeLessThanOrEqual(BURST + BOUND * (fixture.now / 1000) + reports);
  });

  it('includes reports of suppressed lines in the lines of a job', () => {
    const fixture = new LogFixture();
    const jobs = runLoad(fixture, 300, 8);
    const lasting = jobs[0]!;
    fixture.logger.warn('Job goes on.', { job: lasting });
    const story = readJobLines(
      fixture.written.map((line) => JSON.stringify(line)),
      lasting,
    );
    expect(story.filter(({ message }) => message === 'Lines left out.').length).toBeGreaterThan(3);
  });

  it('counts every suppressed line by its message', () => {
    const fixture = new LogFixture();
    const jobs = runLoad(fixture, 300, 5);
    fixture.log.stop();
    const suppressed = fixture.countSuppressed();
    for (const message of JOB_MESSAGES) {
      expect(fixture.listLines(message).length + (suppressed[message] ?? 0)).toBe(jobs.length);
    }
  });

  it('is nested: a job sampled by a box under high load is also sampled by one under less', () => {
    const [calm, busy] = [new LogFixture(), new LogFixture()];
    // The same jobs on both boxes, beside others on one of them.
    runLoad(busy, 1200, 4, 2);
    const jobs = runLoad(busy, 100, 10);
    runLoad(calm, 100, 10);
    const atBusy = listCompleteJobs(busy, jobs);
    expect(atBusy.length).toBeGreaterThan(0);
    expect(atBusy.length).toBeLessThan(jobs.length);
    expect(listCompleteJobs(calm, atBusy)).toEqual(atBusy);
  });

  it('returns to all jobs some seconds after a burst', () => {
    const fixture = new LogFixture();
    runLoad(fixture, 1000, 5);
    fixture.now += 6000;
    const jobs = runLoad(fixture, 40, 5, 3);
    expect(listCompleteJobs(fixture, jobs)).toEqual(jobs);
  });

  it('keeps capacity for lines of higher classes, in a flood of job lines and in a flood of notable lines', () => {
    const fixture = new LogFixture();
    const [job] = createJobIds(64).filter((one) => computeJobSamplingLevel(one) >= 5);
    Array.from({ length: 5000 }).forEach(() => fixture.logger.info('Tasks placed.', { job }));
    fixture.logger.info('Run moved.', { job });
    fixture.logger.info('Job ended late.', { job });
    expect(fixture.listMessages().slice(-2)).toEqual(['Run moved.', 'Job ended late.']);
    Array.from({ length: 5000 }).forEach(() => fixture.logger.info('Run moved.', { job }));
    fixture.logger.info('Leader changed.');
    expect(fixture.listMessages().slice(-1)).toEqual(['Leader changed.']);
  });
});
