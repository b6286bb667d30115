import { spawn, spawnSync } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { chooseFreePorts } from '../../dev/fleet/chooseFreePorts';
import { readJobLines } from '../../packages/timeline/readJobLines';

const JOB = '00000000000000a1';

const toLine = (second: number, fields: object): string =>
  JSON.stringify({ time: `2026-01-01T00:00:0${second}.000Z`, level: 'info', box: 'box-1', ...fields });

const LINES = [
  toLine(0, { part: 'leader', message: 'Endpoint is unreachable.', endpoint: 'i-1' }),
  toLine(1, { part: 'jobs', message: 'Job accepted.', job: JOB }),
  toLine(2, {
    part: 'leader',
    message: 'Tasks placed.',
    job: JOB,
    placed: [{ task: `${JOB}.0.0.0`, run: 1, endpoint: 'i-1' }],
  }),
  toLine(3, { part: 'leader', message: 'Endpoint is unreachable.', endpoint: 'i-1' }),
  toLine(3, { part: 'leader', message: 'Endpoint is unreachable.', endpoint: 'i-2' }),
  toLine(4, { part: 'leadership', message: 'Leader changed.', epoch: 2 }),
  `  5.0 box-1 ${toLine(5, { part: 'leader', message: 'Job ended.', job: JOB, ending: 'completed' })}`,
  'not a line',
];

describe('explanation of a job from logs', () => {
  let folder = '';

  beforeAll(() => {
    folder = mkdtempSync(join(tmpdir(), 'stairline-explain-'));
    writeFileSync(join(folder, 'all.log'), LINES.join('\n'));
  });

  afterAll(() => {
    rmSync(folder, { recursive: true, force: true });
  });

  it('lists the lines of the job, its endpoints and changes of leadership in the meantime', () => {
    const messages = readJobLines(LINES, JOB).map(({ message }) => message);
    expect(messages).toEqual([
      'Job accepted.',
      'Tasks placed.',
      'Endpoint is unreachable.',
      'Leader changed.',
      'Job ended.',
    ]);
  });

  it('is available from the command line, which fails for unknown jobs and bad arguments', () => {
    const runCommand = (...args: string[]) =>
      spawnSync(process.execPath, ['dist/stairline.cjs', 'explain-job', ...args], { encoding: 'utf8' });
    const known = runCommand(JOB, join(folder, 'all.log'));
    expect(known.status).toBe(0);
    expect(known.stdout.split('\n')).toHaveLength(6);
    expect(runCommand('00000000000000ff', join(folder, 'all.log')).status).toBe(1);
    expect(runCommand(JOB).status).toBe(2);
    expect(runCommand(JOB, join(folder, 'missing.log')).status).toBe(2);
  });

  it('includes a ledger command, which fails for logs without jobs and bad arguments', () => {
    const runCommand = (...args: string[]) =>
      spawnSync(process.execPath, ['dist/stairline.cjs', 'ledger', ...args], { encoding: 'utf8' });
    const accepted = toLine(1, {
      part: 'jobs',
      message: 'Job accepted.',
      job: JOB,
      queue: 'jobs',
      tookMs: 4,
    });
    writeFileSync(join(folder, 'ledger.log'), [accepted, ...LINES].join('\n'));
    const known = runCommand('--worst', '1', join(folder, 'ledger.log'));
    expect(known.status).toBe(0);
    expect(known.stdout).toContain(`${JOB} jobs completed 4004 ms: accept 4`);
    const json = runCommand('--json', join(folder, 'ledger.log'));
    expect(JSON.parse(json.stdout)).toMatchObject({ job: JOB, queue: 'jobs', totalMs: 4004 });
    expect(runCommand(join(folder, 'all.log')).status).toBe(1);
    expect(runCommand().status).toBe(2);
    expect(runCommand('--window', 'much', join(folder, 'ledger.log')).status).toBe(2);
    expect(runCommand(join(folder, 'missing.log')).status).toBe(2);
  });
});

describe('a box without an advice service whose log collector disconnects', () => {
  it('starts and keeps running without its log output', async () => {
    const folder = mkdtempSync(join(tmpdir(), 'stairline-collector-'));
    const file = join(folder, 'local.json');
    const ports = await chooseFreePorts(4);
    const [front, ready, internal, log] = ports.map((port) => `127.0.0.1:${port}`);
    const settings = {
      'node-name': 'box-1',
      zone: 'hall-a',
      ip: '127.0.0.1',
      listen: { front, ready },
      'internal-ports': [Number(internal!.split(':')[1]), Number(internal!.split(':')[1])],
      platform: { address: log },
    };
    writeFileSync(file, JSON.stringify(settings));
    const box = spawn(process.execPath, ['dist/stairline.cjs', 'serve', '--settings', file]);
    await new Promise((resolve, reject) => {
      box.stdout.once('data', resolve);
      box.once('exit', reject);
    });
    box.removeAllListeners('exit');
    box.stdout.destroy();
    for (let line = 0; line < 5; line += 1) {
      box.kill('SIGHUP');
      await new Promise((resolve) => setTimeout(resolve, 100));
    }
    expect(box.exitCode).toBeNull();
    box.kill('SIGKILL');
    rmSync(folder, { recursive: true, force: true });
  });
});

describe('invalid settings', () => {
  it('stop the start with exit status 2 and one line per problem', () => {
    const folder = mkdtempSync(join(tmpdir(), 'stairline-settings-'));
    const file = join(folder, 'local.json');
    const runServe = () =>
      spawnSync(process.execPath, ['dist/stairline.cjs', 'serve', '--settings', file], { encoding: 'utf8' });
    writeFileSync(file, '{');
    expect(runServe()).toMatchObject({ status: 2 });
    writeFileSync(
      file,
      JSON.stringify({ 'node-name': 'box-1', zone: 'hall-a', ip: '127.0.0.1', listen: {} }),
    );
    const result = runServe();
    expect(result.status).toBe(2);
    expect(result.stderr).toContain('listen.front');
    expect(result.stderr).toContain('platform');
    expect(result.stderr).not.toContain('    at ');
    rmSync(folder, { recursive: true, force: true });
  });
});
