import { execFileSync, spawnSync } from 'node:child_process';
import { cpSync, mkdtempSync, readFileSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { afterAll, describe, expect, it } from 'vitest';

const CHECK_CACHE = `
  const { readFileSync } = require('node:fs');
  const source = require('node:module').wrap(readFileSync('dist/stairline.program.cjs', 'utf8'));
  const cachedData = readFileSync('dist/stairline.program.cache');
  const script = new (require('node:vm').Script)(source, { filename: 'dist/stairline.program.cjs', cachedData });
  process.stdout.write(String(script.cachedDataRejected));
`;

describe('the code cache of the program', () => {
  const folder = mkdtempSync(join(tmpdir(), 'stairline-cache-'));
  afterAll(() => rmSync(folder, { recursive: true, force: true }));

  const runHelp = (program: string, options: readonly string[]): string =>
    spawnSync(process.execPath, [...options, program, 'help'], { encoding: 'utf8' }).stdout;

  it('is used, so that a start does not compile the whole program', () => {
    expect(execFileSync(process.execPath, ['-e', CHECK_CACHE], { encoding: 'utf8' })).toBe('false');
  });

  it('is not needed: the program runs with other options, and without the cache', () => {
    const expected = runHelp('dist/stairline.cjs', []);
    expect(expected).toContain('usage: stairline COMMAND');
    expect(runHelp('dist/stairline.cjs', ['--max-old-space-size=300'])).toBe(expected);
    for (const file of ['stairline.cjs', 'stairline.program.cjs']) {
      cpSync(join('dist', file), join(folder, file));
    }
    expect(runHelp(join(folder, 'stairline.cjs'), [])).toBe(expected);
  });

  it('is written with the options that deployed processes run with, since V8 ignores it otherwise', () => {
    const deployFile = readFileSync('deploy/system.toml', 'utf8');
    const buildOptions = /bundle\.mjs target ?([^";]*)/.exec(deployFile)?.[1];
    const runOptions = /run = "node ([^"]*) target\/stairline\.cjs/.exec(deployFile)?.[1];
    expect(runOptions).toBeDefined();
    expect(buildOptions).toBe(runOptions);
  });
});
