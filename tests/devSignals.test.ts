import { spawn, type ChildProcess } from 'node:child_process';
import { existsSync, readFileSync } from 'node:fs';
import { afterEach, describe, expect, it } from 'vitest';
import { waitForDelay } from '../packages/common/waitForDelay';

const POLL_MS = 50;
const START_LIMIT_MS = 30_000;
const END_LIMIT_MS = 5000;
const SIGTERM_EXIT_CODE = 143;

const listChildren = (pid: number): readonly number[] => {
  const file = `/proc/${pid}/task/${pid}/children`;
  const text = existsSync(file) ? readFileSync(file, 'utf8').trim() : '';
  return text === '' ? [] : text.split(' ').map(Number);
};

/** A process that has ended may stay in the table until its new parent asks for its exit code. */
const isAlive = (pid: number): boolean => {
  const file = `/proc/${pid}/stat`;
  const stat = existsSync(file) ? readFileSync(file, 'utf8') : '';
  return stat !== '' && stat.slice(stat.lastIndexOf(')') + 2)[0] !== 'Z';
};

const waitUntil = async (isReached: () => boolean, limitMs: number): Promise<void> => {
  const until = performance.now() + limitMs;
  while (!isReached() && performance.now() < until) {
    await waitForDelay(POLL_MS);
  }
};

describe('a development command that is ended by a signal', () => {
  let command: ChildProcess | undefined;
  let children: readonly number[] = [];

  afterEach(() => {
    command?.kill('SIGKILL');
    children.filter(isAlive).forEach((pid) => process.kill(pid, 'SIGKILL'));
  });

  it.each([
    ['soak', ['--boxes', '2', '--endpoints', '2']],
    ['demo', []],
  ])('leaves none of its processes behind: %s', async (name, args) => {
    const started = spawn(process.execPath, ['dist/dev.cjs', name, ...args], { stdio: 'ignore' });
    command = started;
    const ended = new Promise<number | null>((resolve) => started.once('exit', resolve));
    await waitUntil(() => listChildren(started.pid!).length >= 2, START_LIMIT_MS);
    children = listChildren(started.pid!);
    expect(children.length).toBeGreaterThanOrEqual(2);
    started.kill('SIGTERM');
    const exitCode = await ended;
    const listAlive = (): readonly number[] => children.filter(isAlive);
    await waitUntil(() => listAlive().length === 0, END_LIMIT_MS);
    expect(listAlive()).toEqual([]);
    expect(exitCode).toBe(SIGTERM_EXIT_CODE);
  });
});
