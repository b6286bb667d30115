import { describe, expect, it } from 'vitest';
import { DecisionLog } from '../packages/logging/DecisionLog';
import { LineBuffer } from '../packages/logging/LineBuffer';

describe('the lines of a log', () => {
  it("take one write for those of one turn of the event loop that no caller's answer follows, in their order", async () => {
    const writes: string[] = [];
    const buffer = new LineBuffer((text) => void writes.push(text));
    ['a\n', 'b\n', 'c\n'].forEach((line) => buffer.writeLine(line, true));
    expect(buffer.getPendingLength()).toBe(6);
    await new Promise((resolve) => setImmediate(resolve));
    expect(writes).toEqual(['a\nb\nc\n']);
    expect(buffer.getPendingLength()).toBe(0);
  });

  it("are written before a caller's answer, and after those that are pending", () => {
    const writes: string[] = [];
    const buffer = new LineBuffer((text) => void writes.push(text));
    const log = new DecisionLog({
      box: 'box-0',
      writeLine: (line, canWait) => buffer.writeLine(line, canWait),
      getBacklogBytes: () => 0,
      getNow: () => 0,
      getWallMs: () => 0,
      maxLinesPerSecond: 400,
    });
    log.createLogger('leader').info('Job taken in.');
    expect(writes).toEqual([]);
    log.createLogger('jobs').info('Job refused.');
    expect(writes).toHaveLength(1);
    expect(writes[0]).toMatch(/Job taken in\.[^]*Job refused\./);
  });

  it('are written at once at the end of the process', () => {
    const writes: string[] = [];
    const buffer = new LineBuffer((text) => void writes.push(text));
    buffer.writeLine('a\n', true);
    buffer.writePending();
    buffer.writePending();
    expect(writes).toEqual(['a\n']);
  });
});
