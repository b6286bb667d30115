import { describe, expect, it } from 'vitest';
import { createLedger } from '../packages/ledger/createLedger';
import { formatLedger } from '../packages/ledger/formatLedger';
import { readJobHistories } from '../packages/ledger/readJobHistories';
import { computeCriticalPath } from '../packages/ledger/computeCriticalPath';
import { readSamplingLevel } from '../packages/ledger/readSamplingLevel';
import { computeJobSamplingLevel } from '../packages/logging/computeJobSamplingLevel';

const START = Date.parse('2026-01-01T00:00:00.000Z');

/** Creates a log line that was written at a time in milliseconds after `START`. */
const createLine = (atMs: number, message: string, fields: object): string =>
  JSON.stringify({
    time: new Date(START + atMs).toISOString(),
    level: 'info',
    box: 'box-0',
    part: 'leader',
    message,
    ...fields,
  });

const createJobLines = (job: string, offsetMs: number): readonly string[] => {
  const [first, second] = [`${job}.0.0.0`, `${job}.0.0.1`];
  const at = (ms: number): number => offsetMs + ms;
  return [
    createLine(at(15), 'Job accepted.', { job, queue: 'jobs', tookMs: 15 }),
    createLine(at(20), 'Job taken in.', { job, queue: 'jobs' }),
    createLine(at(80), 'Tasks placed.', {
      job,
      waits: { round: 2, turn: 8, answer: 50 },
      placed: [
        { task: first, run: 1 },
        { task: second, run: 1 },
      ],
    }),
    createLine(at(300), 'Run ended.', {
      job,
      task: first,
      run: 1,
      outcome: 'interrupted',
      recordMs: 10,
      startMs: 5,
    }),
    createLine(at(400), 'Tasks placed.', { job, waits: { room: 100 }, placed: [{ task: first, run: 2 }] }),
    createLine(at(500), 'Run ended.', {
      job,
      task: second,
      run: 1,
      outcome: 'done',
      recordMs: 10,
      startMs: 5,
    }),
    createLine(at(700), 'Run ended.', {
      job,
      task: first,
      run: 2,
      outcome: 'done',
      recordMs: 12,
      startMs: 3,
    }),
    createLine(at(701), 'Job ended.', { job, queue: 'jobs', ending: 'completed' }),
  ];
};

describe('ledger', () => {
  it('computes the critical path from the request to the end without gaps', () => {
    const [history] = readJobHistories(createJobLines('a', 0));
    const path = computeCriticalPath(history!).map(({ cause, from, to }) => [cause, to - from]);
    expect(path).toEqual([
      ['accept', 15],
      ['handOver', 5],
      ['round', 2],
      ['turn', 8],
      ['answer', 50],
      ['record', 10],
      ['start', 5],
      ['lost', 205],
      ['room', 100],
      ['record', 12],
      ['start', 3],
      ['running', 285],
      ['noted', 1],
    ]);
  });

  it('accepts lines in any order, attributes missing time to unknown and counts open jobs', () => {
    const lines = [
      ...createJobLines('a', 0).filter((line) => !line.includes('Job taken in')),
      ...createJobLines('b', 2500),
      createLine(2600, 'Job accepted.', { job: 'c', queue: 'lasting', tookMs: 3 }),
      'no line of ours',
      '{"time":"x","message":"Job accepted."}',
    ];
    const histories = readJobHistories([...lines].reverse());
    const ledger = createLedger(histories, { windowMs: 2000, slowestCount: 1 });
    const { queues, slowestJobs } = ledger;
    const shown = queues.map(({ queue, openJobCount, windows }) => [queue, openJobCount, windows.length]);
    expect(shown).toEqual([
      ['jobs', 0, 2],
      ['lasting', 1, 0],
    ]);
    expect(slowestJobs.map(({ totalMs }) => totalMs)).toEqual([701]);
    expect(queues[0]!.sums.getMeanMs('lost')).toBe(205);
    // Without the line that the leader added the job, the 5 ms before the round have no known cause.
    expect(queues[0]!.windows[0]!.sums.getMeanMs('unknown')).toBe(5);
    expect(queues[0]!.windows[0]!.sums.getMeanTotalMs()).toBe(701);
    expect(formatLedger(ledger)).toMatch(/jobs +0 +2 +701/);
  });

  it('attributes the time between an unsuccessful run and the next wait to retry, and the run to how it ended', () => {
    const job = 'a';
    const task = `${job}.0.0.0`;
    const [placed, ended] = ['Tasks placed.', 'Run ended.'];
    const toRun = (run: number) => ({ job, waits: { room: 500 }, placed: [{ task, run, endpoint: 'i-1' }] });
    const lines = [
      createLine(10, 'Job accepted.', { job, queue: 'jobs', tookMs: 10 }),
      createLine(10, 'Job taken in.', { job, queue: 'jobs' }),
      createLine(510, placed, toRun(1)),
      createLine(700, ended, { job, task, run: 1, outcome: 'failed', how: 'failed' }),
      // The wait of the step began before this task's previous run ended.
      createLine(900, placed, toRun(2)),
      createLine(1000, ended, { job, task, run: 2, outcome: 'interrupted', how: 'stopped', why: 'slow' }),
      createLine(1800, placed, toRun(3)),
      createLine(2000, ended, { job, task, run: 3, outcome: 'done', how: 'done' }),
      createLine(2000, 'Job ended.', { job, queue: 'jobs', ending: 'completed' }),
    ];
    const path = computeCriticalPath(readJobHistories(lines)[0]!).map(({ cause, from, to }) => [
      cause,
      to - from,
    ]);
    expect(path).toEqual([
      ['accept', 10],
      ['room', 500],
      ['failed', 190],
      ['room', 200],
      ['stopped', 100],
      ['retry', 300],
      ['room', 500],
      ['running', 200],
    ]);
  });

  it('joins the waits of a step that is placed in several batches', () => {
    const job = 'a';
    const toBatch = (index: number, atMs: number, waits: object): string =>
      createLine(atMs, 'Tasks placed.', { job, waits, placed: [{ task: `${job}.0.0.${index}`, run: 1 }] });
    const lines = [
      createLine(10, 'Job accepted.', { job, queue: 'jobs', tookMs: 10 }),
      createLine(10, 'Job taken in.', { job, queue: 'jobs' }),
      toBatch(0, 100, { answer: 90 }),
      toBatch(1, 300, { room: 200 }),
      toBatch(2, 600, { limit: 300 }),
      ...[0, 1, 2].map((index) =>
        createLine(800 + index, 'Run ended.', { job, task: `${job}.0.0.${index}`, run: 1, outcome: 'done' }),
      ),
      createLine(802, 'Job ended.', { job, queue: 'jobs', ending: 'completed' }),
    ];
    const path = computeCriticalPath(readJobHistories(lines)[0]!).map(({ cause, from, to }) => [
      cause,
      to - from,
    ]);
    expect(path).toEqual([
      ['accept', 10],
      ['answer', 90],
      ['room', 200],
      ['limit', 300],
      ['running', 202],
    ]);
  });

  it('attributes the time under a previous leader to its logged waits, and the rest to the change of leader', () => {
    const job = 'a';
    const task = `${job}.0.0.0`;
    const lines = [
      createLine(10, 'Job accepted.', { job, queue: 'jobs', tookMs: 10 }),
      createLine(10, 'Job taken in.', { job, queue: 'jobs' }),
      createLine(1010, 'Step waits.', { job, step: `${job}.0.0`, waits: { room: 1000 } }),
      createLine(2010, 'Step waits.', { job, step: `${job}.0.0`, waits: { room: 1400, turn: 600 } }),
      createLine(2500, 'Leading.', { epoch: 2 }),
      createLine(2600, 'Tasks placed.', { job, waits: { answer: 90 }, placed: [{ task, run: 1 }] }),
      createLine(3000, 'Run ended.', { job, task, run: 1, outcome: 'done' }),
      createLine(3000, 'Job ended.', { job, queue: 'jobs', ending: 'completed' }),
    ];
    const path = computeCriticalPath(readJobHistories(lines)[0]!).map(({ cause, from, to }) => [
      cause,
      to - from,
    ]);
    expect(path).toEqual([
      ['accept', 10],
      ['turn', 600],
      ['room', 1400],
      ['leader', 500],
      ['answer', 90],
      ['running', 400],
    ]);
  });

  it('uses the end that the later of two leaders logged', () => {
    const laterLines = [
      createLine(900, 'Leading.', { epoch: 2 }),
      createLine(950, 'Run ended.', { job: 'a', task: 'a.0.0.0', run: 2, outcome: 'done' }),
      createLine(950, 'Job ended.', { job: 'a', queue: 'jobs', ending: 'completed' }),
    ];
    const sums = createLedger(readJobHistories([...createJobLines('a', 0), ...laterLines]), {
      windowMs: 2000,
      slowestCount: 1,
    }).queues[0]!.sums;
    expect([sums.getMeanTotalMs(), sums.getMeanMs('unknown')]).toEqual([950, 0]);
  });

  it('attributes the time of a missing run to unknown and not to the end of the job', () => {
    const lines = createJobLines('a', 0).filter((line) => !line.includes('"run":2'));
    const sums = createLedger(readJobHistories(lines), { windowMs: 2000, slowestCount: 1 }).queues[0]!.sums;
    expect(sums.getMeanMs('noted')).toBe(0);
    expect(sums.getMeanMs('unknown')).toBe(201);
  });

  it('uses the path logged for a late job when other lines are missing, and sums only sampled jobs by queue', () => {
    const ids = [...'0123456789abcdef'];
    const late = {
      job: '3',
      queue: 'jobs',
      ending: 'completed',
      lateMs: 100,
      totalMs: 900,
      path: [
        { cause: 'room', ms: 700, run: '3.0.0.0 run 1' },
        { cause: 'running', ms: 200, run: '3.0.0.0 run 1' },
      ],
    };
    const lines = [
      ...ids.flatMap((id) =>
        createJobLines(id, 0).filter((line) => id !== '3' || line.includes('Job accepted')),
      ),
      createLine(915, 'Job ended late.', late),
      createLine(1000, 'Lines left out.', { total: 5, share: '1/2', counts: { 'Run ended.': 5 } }),
    ];
    const samplingLevel = readSamplingLevel(lines);
    expect(samplingLevel).toBe(1);
    const { queues, lateQueues } = createLedger(readJobHistories(lines), {
      windowMs: 2000,
      slowestCount: 1,
      samplingLevel,
    });
    expect(lateQueues.map(({ sums }) => sums.countJobs())).toEqual([1]);
    expect(lateQueues[0]!.sums.getMeanMs('room')).toBe(700);
    expect(lateQueues[0]!.sums.getMeanMs('accept')).toBe(15);
    const sampled = ids.filter((id) => computeJobSamplingLevel(id) >= 1);
    expect(sampled).toEqual(['b', 'd', 'f']);
    expect(queues[0]!.sums.countJobs()).toBe(sampled.length);
  });

  it('returns no histories for logs without jobs', () => {
    expect(readJobHistories(['', 'text'])).toEqual([]);
  });
});
