import { describe, expect, it } from 'vitest';
import { createRandom } from '../packages/common/createRandom';
import { DecisionLog } from '../packages/logging/DecisionLog';
import { LineBatcher } from '../packages/logging/LineBatcher';
import { getLineClass } from '../packages/logging/getLineClass';
import { findLineJob } from '../packages/logging/findLineJob';
import { computeSamplingLevel } from '../packages/logging/computeSamplingLevel';
import { readJobStory } from '../packages/timeline/readJobStory';

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

/** A log with a clock of its own, and what it has written. */
class LogBench {
  readonly written: WrittenLine[] = [];
  now = 0;
  backlogBytes = 0;
  readonly log = new DecisionLog({
    box: 'box-1',
    writeLine: (line) => this.written.push(JSON.parse(line) as WrittenLine),
    getBacklogBytes: () => this.backlogBytes,
    readNow: () => this.now,
    readWall: () => this.now,
    linesPerSecond: BOUND,
  });
  readonly logger = this.log.createLogger('leader');

  readMessages(): readonly string[] {
    return this.written.map(({ message }) => message);
  }

  readLines(message: string): readonly WrittenLine[] {
    return this.written.filter((line) => line.message === message);
  }

  /** Counts of what was left out, over all lines about it. */
  readLeftOut(): Readonly<Record<string, number>> {
    const sums: Record<string, number> = {};
    for (const { counts = {} } of this.readLines('Lines left out.')) {
      for (const [sentence, count] of Object.entries(counts)) {
        sums[sentence] = (sums[sentence] ?? 0) + count;
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

const STORY = ['Job taken in.', 'Advice answered.', 'Tasks placed.', 'Run ended.', 'Job ended.'];

/** The fields of one line of a story: a job, its step or one of its tasks is named. */
const createStoryFields = (sentence: string, job: string): Record<string, unknown> =>
  sentence === 'Advice answered.' ? { step: `${job}.0.0` } : { job };

/**
 * The load: jobs that come evenly, each with lines over half a second, beside a warning and a stop each 50 ms. Gives the ids of the jobs.
 */
const startLoad = (bench: LogBench, jobsPerSecond: number, seconds: number, seed = 1): readonly string[] => {
  const jobs = createJobIds(jobsPerSecond * seconds, seed);
  const startedAt = bench.now;
  const events: { readonly at: number; readonly send: () => void }[] = jobs.flatMap((job, index) =>
    STORY.map((sentence, part) => ({
      at: startedAt + (index * 1000) / jobsPerSecond + part * 125,
      send: () => bench.logger.info(sentence, createStoryFields(sentence, job)),
    })),
  );
  for (let at = startedAt; at < startedAt + seconds * 1000; at += 50) {
    events.push({ at, send: () => bench.logger.warn('Something is odd.') });
    events.push({ at, send: () => bench.logger.info('Run is moved.', { job: jobs[0] }) });
  }
  events.sort((left, right) => left.at - right.at);
  for (const { at, send } of events) {
    bench.now = at;
    send();
  }
  return jobs;
};

/** The jobs of which the log has all lines. */
const readWholeJobs = (bench: LogBench, jobs: readonly string[]): readonly string[] => {
  const lengths = new Map<string, number>();
  for (const line of bench.written) {
    const job = STORY.includes(line.message) ? findLineJob({ ...line }) : undefined;
    if (job !== undefined) {
      lengths.set(job, (lengths.get(job) ?? 0) + 1);
    }
  }
  return jobs.filter((job) => lengths.get(job) === STORY.length);
};

describe('a bounded log', () => {
  it('keeps to its bound, counts by sentence what it leaves out, and keeps errors', () => {
    const bench = new LogBench();
    Array.from({ length: BURST + 60 }).forEach(() => bench.logger.info('Something.'));
    expect(bench.written).toHaveLength(BURST);
    bench.logger.error('Something worse.');
    expect(bench.readMessages()[BURST]).toBe('Something worse.');
    bench.now = 1000;
    bench.logger.info('Something.');
    const [told] = bench.readLines('Lines left out.');
    expect(told).toMatchObject({ total: 60, sinceMs: 1000, counts: { 'Something.': 60 } });
    expect(bench.readMessages().slice(-2)).toEqual(['Lines left out.', 'Something.']);
  });

  it('tells what it left out also where no further line comes, once a second, and when the process ends', () => {
    const bench = new LogBench();
    Array.from({ length: BURST + 7 }).forEach(() => bench.logger.info('Something.'));
    bench.now = 999;
    bench.log.applyTime();
    expect(bench.readLeftOut()).toEqual({});
    bench.now = 1000;
    bench.log.applyTime();
    bench.log.applyTime();
    expect(bench.readLeftOut()).toEqual({ 'Something.': 7 });
    Array.from({ length: BOUND + 5 }).forEach(() => bench.logger.info('Something.'));
    bench.log.stop();
    bench.log.stop();
    expect(bench.readLines('Lines left out.').map(({ total }) => total)).toEqual([7, 6]);
  });

  it('writes nothing while its reader does not read, and tells afterwards how much', () => {
    const bench = new LogBench();
    bench.backlogBytes = 2_000_000;
    bench.logger.info('Something.');
    bench.logger.warn('Something odd.');
    bench.now = 2000;
    bench.log.applyTime();
    expect(bench.written).toHaveLength(0);
    bench.backlogBytes = 0;
    bench.log.applyTime();
    expect(bench.readLeftOut()).toEqual({ 'Something.': 1, 'Something odd.': 1 });
  });
});

describe('the class of a line', () => {
  it('is by its level, its sentence and whether it names a job; sentences that no table names are part of a story', () => {
    expect(getLineClass('error', 'Tasks placed.', { job: 'a' })).toBe('error');
    expect(getLineClass('warn', 'Tasks placed.', { job: 'a' })).toBe('vital');
    expect(getLineClass('info', 'Leader changed.', { epoch: 2 })).toBe('vital');
    expect(getLineClass('info', 'Job ended late.', { job: 'a' })).toBe('vital');
    expect(getLineClass('info', 'Run is moved.', { job: 'a' })).toBe('notable');
    expect(getLineClass('info', 'Run is moved.', { rows: [] })).toBe('notable');
    expect(getLineClass('info', 'Never heard of.', { job: 'a' })).toBe('story');
    expect(getLineClass('info', 'Never heard of.', { step: 'a.0.1' })).toBe('story');
    expect(getLineClass('info', 'Never heard of.', undefined)).toBe('vital');
  });

  it('takes the job from its own field, a step or a task', () => {
    expect(findLineJob({ job: 'a' })).toBe('a');
    expect(findLineJob({ step: 'b.0.1' })).toBe('b');
    expect(findLineJob({ task: 'c.0.1.7', run: 1 })).toBe('c');
    expect(findLineJob({ endpoint: 'i-1', job: '' })).toBeUndefined();
  });
});

describe('lines that come by the dozen', () => {
  const toFields = (job: string, step: string) => ({
    job,
    task: `${job}.0.0.0`,
    run: 1,
    endpoint: 'i-1',
    percent: 5,
    for: step,
  });

  it('are one with a row for each of one moment, and a single one is like any other', () => {
    const bench = new LogBench();
    const gatherer = new LineBatcher(bench.logger);
    ['a', 'b', 'c'].forEach((job) => gatherer.recordLine('Run gives way.', toFields(job, 'x.0.0'), 0));
    gatherer.recordLine('Run gives way.', toFields('d', 'y.0.0'), 0);
    gatherer.recordLine('Job ended.', { job: 'a' }, 0);
    gatherer.applyTime(20);
    expect(bench.readMessages()).toEqual(['Job ended.']);
    gatherer.applyTime(100);
    const [whole, single] = bench.readLines('Run gives way.');
    expect(whole).toMatchObject({ for: 'x.0.0', rows: [{ job: 'a' }, { job: 'b' }, { job: 'c' }] });
    expect(single).toMatchObject({ for: 'y.0.0', job: 'd', percent: 5 });
  });

  it('are written at once when there are many, all of them when the leader stops, and each job has its row', () => {
    const bench = new LogBench();
    const gatherer = new LineBatcher(bench.logger);
    const jobs = Array.from({ length: 100 }, (_, number) => `job-${number}`);
    jobs.forEach((job) => gatherer.recordLine('Run is moved.', { ...toFields(job, 'x'), reason: 'slow' }, 0));
    expect(bench.written).toHaveLength(2);
    gatherer.stop();
    expect(bench.written).toHaveLength(3);
    const texts = bench.written.map((line) => JSON.stringify(line));
    expect(
      jobs.map((job) => readJobStory(texts, job).map(({ rows }) => rows?.map((row) => row.job))),
    ).toEqual(jobs.map((job) => [[job]]));
  });
});

describe('the choice of stories', () => {
  it('halves the jobs with each depth, by the id alone, also for ids that count up', () => {
    const counted = Array.from({ length: 8192 }, (_, index) => index.toString(16).padStart(16, '0'));
    for (const ids of [createJobIds(8192), counted]) {
      const depths = ids.map(computeSamplingLevel);
      for (const depth of [1, 2, 3, 4]) {
        const share = depths.filter((one) => one >= depth).length / ids.length;
        expect(share * 2 ** depth).toBeGreaterThan(0.8);
        expect(share * 2 ** depth).toBeLessThan(1.2);
      }
    }
  });

  it('tells every job whole while all lines fit', () => {
    const bench = new LogBench();
    const jobs = startLoad(bench, 40, 10);
    expect(readWholeJobs(bench, jobs)).toEqual(jobs);
    expect(bench.readLeftOut()).toEqual({});
  });

  /**
   * The load: 300 jobs and 1,540 lines a second against a bound of 400 for 20 s. Of the last 4,500 jobs 49 have all their lines in a log that takes
   * lines as they come, and 548 here.
   */
  it('tells one job in sixteen whole at four times the bound, with every vital line, within the bound', () => {
    const bench = new LogBench();
    const jobs = startLoad(bench, 300, 20);
    bench.now += 1000;
    bench.log.applyTime();
    const chosen = jobs.filter((job) => computeSamplingLevel(job) >= 4);
    expect(chosen.length).toBeGreaterThan(jobs.length / 20);
    expect(readWholeJobs(bench, chosen)).toEqual(chosen);
    expect(bench.readLines('Something is odd.')).toHaveLength(400);
    expect(bench.readLines('Run is moved.')).toHaveLength(400);
    const told = bench.readLines('Lines left out.').length;
    expect(told).toBeGreaterThanOrEqual(15);
    expect(told).toBeLessThanOrEqual(21);
    expect(bench.written.length).toBeLessThanOrEqual(BURST + BOUND * (bench.now / 1000) + told);
  });

  it('has the story of a job say which lines are missing while it lived', () => {
    const bench = new LogBench();
    const jobs = startLoad(bench, 300, 8);
    const lasting = jobs[0]!;
    bench.logger.warn('Job goes on.', { job: lasting });
    const story = readJobStory(
      bench.written.map((line) => JSON.stringify(line)),
      lasting,
    );
    expect(story.filter(({ message }) => message === 'Lines left out.').length).toBeGreaterThan(3);
  });

  it('counts every line that is not written, under its sentence', () => {
    const bench = new LogBench();
    const jobs = startLoad(bench, 300, 5);
    bench.log.stop();
    const leftOut = bench.readLeftOut();
    for (const sentence of STORY) {
      expect(bench.readLines(sentence).length + (leftOut[sentence] ?? 0)).toBe(jobs.length);
    }
  });

  it('is nested: what a box under more load tells whole is told whole by one under less', () => {
    const [calm, busy] = [new LogBench(), new LogBench()];
    // The same jobs, beside others that only one of the boxes has.
    startLoad(busy, 1200, 4, 2);
    const jobs = startLoad(busy, 100, 10);
    startLoad(calm, 100, 10);
    const atBusy = readWholeJobs(busy, jobs);
    expect(atBusy.length).toBeGreaterThan(0);
    expect(atBusy.length).toBeLessThan(jobs.length);
    expect(readWholeJobs(calm, atBusy)).toEqual(atBusy);
  });

  it('goes back to all jobs some seconds after a burst', () => {
    const bench = new LogBench();
    startLoad(bench, 1000, 5);
    bench.now += 6000;
    const jobs = startLoad(bench, 40, 5, 3);
    expect(readWholeJobs(bench, jobs)).toEqual(jobs);
  });

  it('leaves room for graver lines beside a sudden flood, and for stories beside a flood of stops', () => {
    const bench = new LogBench();
    const [job] = createJobIds(64).filter((one) => computeSamplingLevel(one) >= 5);
    Array.from({ length: 5000 }).forEach(() => bench.logger.info('Tasks placed.', { job }));
    bench.logger.info('Run is moved.', { job });
    bench.logger.info('Job ended late.', { job });
    expect(bench.readMessages().slice(-2)).toEqual(['Run is moved.', 'Job ended late.']);
    Array.from({ length: 5000 }).forEach(() => bench.logger.info('Run is moved.', { job }));
    bench.logger.info('Leader changed.');
    expect(bench.readMessages().slice(-1)).toEqual(['Leader changed.']);
  });
});
