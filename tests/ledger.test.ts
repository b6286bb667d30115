import { describe, expect, it } from 'vitest';
import { createLedger } from '../packages/ledger/createLedger';
import { formatLedger } from '../packages/ledger/formatLedger';
import { readAccounts } from '../packages/ledger/readAccounts';
import { readCriticalPath } from '../packages/ledger/readCriticalPath';
import { readToldDepth } from '../packages/ledger/readToldDepth';
import { computeSamplingLevel } from '../packages/logging/computeSamplingLevel';

const START = Date.parse('2026-01-01T00:00:00.000Z');

/** A line as a process writes it, some milliseconds after the start. */
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

describe('the ledger of a job', () => {
  it('follows what the end waited for, without gaps from the call to the end', () => {
    const [account] = readAccounts(createJobLines('a', 0));
    const path = readCriticalPath(account!).map(({ cause, from, to }) => [cause, to - from]);
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

  it('takes the lines of many logs in any order, says what it cannot know, and counts jobs that are open', () => {
    const lines = [
      ...createJobLines('a', 0).filter((line) => !line.includes('Job taken in')),
      ...createJobLines('b', 2500),
      createLine(2600, 'Job accepted.', { job: 'c', queue: 'lasting', tookMs: 3 }),
      'no line of ours',
      '{"time":"x","message":"Job accepted."}',
    ];
    const accounts = readAccounts([...lines].reverse());
    const ledger = createLedger(accounts, { windowMs: 2000, worstCount: 1 });
    const { queues, worst } = ledger;
    const shown = queues.map(({ queue, openCount, windows }) => [queue, openCount, windows.length]);
    expect(shown).toEqual([
      ['jobs', 0, 2],
      ['lasting', 1, 0],
    ]);
    expect(worst.map(({ totalMs }) => totalMs)).toEqual([701]);
    expect(queues[0]!.sums.readMean('lost')).toBe(205);
    // Without the line that the leader has it, the 5 ms before the round are given to nobody in particular.
    expect(queues[0]!.windows[0]!.sums.readMean('unknown')).toBe(5);
    expect(queues[0]!.windows[0]!.sums.readMeanTotal()).toBe(701);
    expect(formatLedger(ledger)).toMatch(/jobs +0 +2 +701/);
  });

  it('gives the time between an unsuccessful run and the next start to the retry, and tells how such runs ended', () => {
    const job = 'a';
    const task = `${job}.0.0.0`;
    const [placed, ended] = ['Tasks placed.', 'Run ended.'];
    const toRun = (run: number) => ({ job, waits: { room: 500 }, placed: [{ task, run, endpoint: 'i-1' }] });
    const lines = [
      createLine(10, 'Job accepted.', { job, queue: 'jobs', tookMs: 10 }),
      createLine(10, 'Job taken in.', { job, queue: 'jobs' }),
      createLine(510, placed, toRun(1)),
      createLine(700, ended, { job, task, run: 1, outcome: 'failed', how: 'failed' }),
      // The step has waited for room since long before this task did so.
      createLine(900, placed, toRun(2)),
      createLine(1000, ended, { job, task, run: 2, outcome: 'interrupted', how: 'stopped', why: 'slow' }),
      createLine(1800, placed, toRun(3)),
      createLine(2000, ended, { job, task, run: 3, outcome: 'done', how: 'done' }),
      createLine(2000, 'Job ended.', { job, queue: 'jobs', ending: 'completed' }),
    ];
    const path = readCriticalPath(readAccounts(lines)[0]!).map(({ cause, from, to }) => [cause, to - from]);
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

  it('adds up what tasks waited for that are placed in turns', () => {
    const job = 'a';
    const toTurn = (index: number, atMs: number, waits: object): string =>
      createLine(atMs, 'Tasks placed.', { job, waits, placed: [{ task: `${job}.0.0.${index}`, run: 1 }] });
    const lines = [
      createLine(10, 'Job accepted.', { job, queue: 'jobs', tookMs: 10 }),
      createLine(10, 'Job taken in.', { job, queue: 'jobs' }),
      toTurn(0, 100, { answer: 90 }),
      toTurn(1, 300, { room: 200 }),
      toTurn(2, 600, { limit: 300 }),
      ...[0, 1, 2].map((index) =>
        createLine(800 + index, 'Run ended.', { job, task: `${job}.0.0.${index}`, run: 1, outcome: 'done' }),
      ),
      createLine(802, 'Job ended.', { job, queue: 'jobs', ending: 'completed' }),
    ];
    const path = readCriticalPath(readAccounts(lines)[0]!).map(({ cause, from, to }) => [cause, to - from]);
    expect(path).toEqual([
      ['accept', 10],
      ['answer', 90],
      ['room', 200],
      ['limit', 300],
      ['running', 202],
    ]);
  });

  it('tells what a job waited for under a leader that went, as far as that told, and what it took to follow it', () => {
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
    const path = readCriticalPath(readAccounts(lines)[0]!).map(({ cause, from, to }) => [cause, to - from]);
    expect(path).toEqual([
      ['accept', 10],
      ['turn', 600],
      ['room', 1400],
      ['leader', 500],
      ['answer', 90],
      ['running', 400],
    ]);
  });

  it('takes the end that the later of two leaders told: the earlier could not make it durable', () => {
    const again = [
      createLine(900, 'Leading.', { epoch: 2 }),
      createLine(950, 'Run ended.', { job: 'a', task: 'a.0.0.0', run: 2, outcome: 'done' }),
      createLine(950, 'Job ended.', { job: 'a', queue: 'jobs', ending: 'completed' }),
    ];
    const sums = createLedger(readAccounts([...createJobLines('a', 0), ...again]), {
      windowMs: 2000,
      worstCount: 1,
    }).queues[0]!.sums;
    expect([sums.readMeanTotal(), sums.readMean('unknown')]).toEqual([950, 0]);
  });

  it('does not give to the end what is missing before it', () => {
    const lines = createJobLines('a', 0).filter((line) => !line.includes('"run":2'));
    const sums = createLedger(readAccounts(lines), { windowMs: 2000, worstCount: 1 }).queues[0]!.sums;
    expect(sums.readMean('noted')).toBe(0);
    expect(sums.readMean('unknown')).toBe(201);
  });

  it('takes the one line about a late job where others are missing, and sums the jobs of the told share by queue', () => {
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
    const depth = readToldDepth(lines);
    expect(depth).toBe(1);
    const { queues, lateQueues } = createLedger(readAccounts(lines), {
      windowMs: 2000,
      worstCount: 1,
      depth,
    });
    expect(lateQueues.map(({ sums }) => sums.readJobCount())).toEqual([1]);
    expect(lateQueues[0]!.sums.readMean('room')).toBe(700);
    expect(lateQueues[0]!.sums.readMean('accept')).toBe(15);
    const chosen = ids.filter((id) => computeSamplingLevel(id) >= 1);
    expect(chosen).toEqual(['b', 'd', 'f']);
    expect(queues[0]!.sums.readJobCount()).toBe(chosen.length);
  });

  it('gives nothing for logs without jobs', () => {
    expect(readAccounts(['', 'text'])).toEqual([]);
  });
});
