import { execFile, execFileSync } from 'node:child_process';
import { mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { promisify } from 'node:util';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import type { Fleet } from '../dev/fleet/Fleet';
import { createFleet } from './helpers/createFleet';

interface CliResult {
  readonly code: number;
  readonly out: string;
  readonly err: string;
}

const BINARY = 'dist/stairline';
const runFile = promisify(execFile);

const runCli = async (...args: string[]): Promise<CliResult> => {
  try {
    const { stdout, stderr } = await runFile(BINARY, args);
    return { code: 0, out: stdout, err: stderr };
  } catch (thrown) {
    const failed = thrown as { code: number; stdout: string; stderr: string };
    return { code: failed.code, out: failed.stdout, err: failed.stderr };
  }
};

const writeSettings = (text: string): string => {
  const file = join(mkdtempSync(join(tmpdir(), 'stairline-')), 'settings.jsonc');
  writeFileSync(file, text);
  return file;
};

const BAD_SETTINGS = `// three things are wrong here
{
  "cell": "almaty",
  "platform": "somewhere",
  "entries": [{ "box": "a", "hall": "h", "callers": "127.0.0.1:1", "operators": "127.0.0.1:2", "peers": "127.0.0.1:3" }],
  "rows": {
    "plan-refresh": { "class": "service", "team": "clinicians", "wait": 3 },
    "course-build": { "class": "sometimes", "team": "builders" },
  },
}
`;

describe('the command line', () => {
  let fleet: Fleet;
  let settings = '';

  beforeAll(async () => {
    execFileSync(process.execPath, ['scripts/buildBinary.mjs'], { stdio: 'ignore' });
    fleet = await createFleet();
    settings = fleet.readSettingsFile();
  });

  afterAll(async () => {
    await fleet.stop();
  });

  it('lists its commands and shows the usage of each', async () => {
    const help = await runCli('help');
    expect(help.code).toBe(0);
    for (const name of ['entry', 'check', 'status', 'table', 'timeline', 'explain', 'replay', 'ended']) {
      expect(help.out).toContain(`  ${name} `);
      const one = await runCli(name, '--help');
      expect(one).toMatchObject({ code: 0, out: expect.stringContaining(`usage: stairline ${name}`) });
    }
  });

  it('exits with 2 on invalid arguments', async () => {
    expect((await runCli()).code).toBe(2);
    expect((await runCli('dance')).code).toBe(2);
    expect((await runCli('check')).code).toBe(2);
    expect((await runCli('check', '--colour')).code).toBe(2);
    expect((await runCli('entry', '--settings', settings, '--box', 'nobody')).err).toContain(
      'box: expected one of',
    );
  });

  it('accepts the settings files of both deployments', async () => {
    for (const name of ['almaty', 'gangetic-east']) {
      const checked = await runCli('check', '--settings', `settings/${name}.jsonc`);
      expect(checked).toMatchObject({ code: 0, out: expect.stringContaining('6 entry boxes') });
    }
  });

  it('reports all problems of a settings file at once, each with its line and path', async () => {
    const file = writeSettings(BAD_SETTINGS);
    const checked = await runCli('check', '--settings', file);
    expect(checked.code).toBe(2);
    expect(checked.err).toContain(`${file}:4: platform: expected an IP number and a port`);
    expect(checked.err).toContain(`${file}:7: rows.plan-refresh.wait: Unrecognized key`);
    expect(checked.err).toContain(`${file}:8: rows.course-build.class: `);
  });

  it('reports the line of a JSON syntax error, and a missing file', async () => {
    const file = writeSettings('{\n  "cell": "a",\n  "box" 3\n}\n');
    expect((await runCli('check', '--settings', file)).err).toContain(`${file}:3:`);
    expect((await runCli('check', '--settings', 'no-such-file')).err).toContain(
      'expected a readable file'.slice(9),
    );
  });

  it('runs an entry process by itself', async () => {
    const [box = ''] = fleet.readBoxes();
    fleet.readProcess(box).sendSignal('SIGKILL');
    await fleet.readProcess(box).exit;
    const child = execFile(BINARY, ['entry', '--settings', settings, '--box', box]);
    const exit = new Promise((resolve) => child.once('exit', resolve));
    await fleet.startWait(async () => (await fleet.readStatus(box))?.hasEvidence === true);
    const result = await fleet.sendCall(box, 'plan-refresh', { headers: { 'x-run-ms': '5' } });
    expect(result.outcome).toBe('ran');
    child.kill('SIGTERM');
    expect(await exit).toBe(0);
    await fleet.startEntry(box);
  });

  it('shows and edits the table', async () => {
    const shown = await runCli('table', 'show', '--settings', settings);
    expect(shown.out).toMatch(/gazetteer-watch\s+standing/);
    const set = await runCli(
      'table',
      'set',
      'row/tile-proof/weight',
      '6',
      '--settings',
      settings,
      '--operator',
      'anna',
    );
    expect(set).toMatchObject({ code: 0, out: expect.stringContaining('Accepted') });
    const bad = await runCli('table', 'set', 'row/tile-proof/weight', 'heavy', '--settings', settings);
    expect(bad).toMatchObject({ code: 1, err: expect.stringContaining('bad value for row/tile-proof') });
    const history = await runCli('table', 'history', '--settings', settings, '--json');
    expect(JSON.parse(history.out)).toMatchObject([{ cell: 'row/tile-proof/weight', decision: 'accepted' }]);
  });

  it('shows the status, the timeline and the explanation of a request', async () => {
    const status = await runCli('status', '--settings', settings);
    expect(status.out).toContain(fleet.readBoxes()[1]);
    const timeline = await runCli('timeline', '--settings', settings);
    expect(timeline.out).toContain('[hall] view');
    const result = await fleet.sendCall(fleet.readBoxes()[1] ?? '', 'plan-refresh', {
      headers: { 'x-run-ms': '5' },
    });
    const explained = await runCli('explain', result.request, '--settings', settings);
    expect(explained.out).toMatch(/placed it on hall-a-worker-\d .* waiting for nothing/);
    expect((await runCli('explain', 'nothing', '--settings', settings)).code).toBe(1);
  });

  it('serves a status page to operators', async () => {
    const file = JSON.parse((await import('node:fs')).readFileSync(settings, 'utf8')) as {
      entries: { operators: string }[];
    };
    const page = await (await fetch(`http://${file.entries[1]?.operators}/`)).text();
    expect(page).toContain('<h1>hall-a-entry-2</h1>');
    expect(page).toContain('gazetteer-watch');
  });
});
