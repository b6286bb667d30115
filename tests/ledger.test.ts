import { describe, expect, it } from 'vitest';
import { createLedger } from '../packages/ledger/createLedger';
import { formatLedger } from '../packages/ledger/formatLedger';
import { readAccounts } from '../packages/ledger/readAccounts';
import { readCriticalPath } from '../packages/ledger/readCriticalPath';

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
    const { queues, worst } = createLedger(accounts, { windowMs: 2000, worstCount: 1 });
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
    expect(formatLedger({ queues, worst })).toMatch(/jobs +0 +2 +701/);
  });

  it('gives nothing for logs without jobs', () => {
    expect(readAccounts(['', 'text'])).toEqual([]);
  });
});
