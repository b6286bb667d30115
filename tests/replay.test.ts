import { readFileSync } from 'node:fs';
import { describe, expect, it } from 'vitest';
import { createTrace } from '../dev/traces/createTrace';
import { toOutcomeFile } from '../dev/traces/toOutcomeFile';
import { traceShapes } from '../dev/traces/traceShapes';
import { measureReplay } from '../packages/replay/measureReplay';
import { readTrace } from '../packages/replay/readTrace';

describe('replay', () => {
  it.each(traceShapes.map((shape) => [shape.name, shape] as const))(
    '%s comes out as stated',
    (name, shape) => {
      const stated = JSON.parse(readFileSync(toOutcomeFile(name), 'utf8')) as object;
      const result = measureReplay(createTrace(shape), 'stairline');
      expect({ about: shape.about, ...result }).toEqual(stated);
    },
  );

  it('decides again what an entry process decided when it recorded the trace', () => {
    const trace = readTrace('traces/recorded-entry.jsonl');
    if (!trace.ok) {
      throw new Error(JSON.stringify(trace.error));
    }
    const stated = JSON.parse(readFileSync(toOutcomeFile('recorded-entry'), 'utf8')) as object;
    const result = measureReplay(trace.value, 'stairline');
    expect(result).toEqual(stated);
    expect(result.digest).toBe(trace.value.recordedDigest);
  });

  it('names the line of a trace that is not understood', () => {
    expect(readTrace('README.md')).toMatchObject({ ok: false, error: { line: 1 } });
    expect(readTrace('no-such-file')).toMatchObject({ ok: false, error: { line: 0 } });
  });

  it('spoils nothing for a modest team beside a greedy one', () => {
    const shape = traceShapes.find((one) => one.name === 'greedy-team');
    const result = shape === undefined ? undefined : measureReplay(createTrace(shape), 'stairline');
    const modest = result?.rows.find((row) => row.row.endsWith('modest'));
    expect(modest).toMatchObject({ refused: 0, late: 0 });
  });

  it('stops less than one preemptible task for each that it finishes, in the morning peak', () => {
    const shape = traceShapes.find((one) => one.name === 'almaty-morning');
    const result = shape === undefined ? undefined : measureReplay(createTrace(shape), 'stairline');
    expect(result?.preemptions).toBeLessThan(400);
  });
});
