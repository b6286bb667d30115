import { describe, expect, it } from 'vitest';
import { LineBuffer } from '../packages/logging/LineBuffer';

describe('the lines of a log', () => {
  it('that come in one turn of the event loop take one write, in their order', async () => {
    const writes: string[] = [];
    const buffer = new LineBuffer((text) => void writes.push(text));
    ['a\n', 'b\n', 'c\n'].forEach((line) => buffer.writeLine(line));
    expect(buffer.getPendingLength()).toBe(6);
    await new Promise((resolve) => setImmediate(resolve));
    expect(writes).toEqual(['a\nb\nc\n']);
    expect(buffer.getPendingLength()).toBe(0);
  });

  it('are written at once at the end of the process', () => {
    const writes: string[] = [];
    const buffer = new LineBuffer((text) => void writes.push(text));
    buffer.writeLine('a\n');
    buffer.writePending();
    buffer.writePending();
    expect(writes).toEqual(['a\n']);
  });
});
