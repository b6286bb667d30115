/*
 * Guards against a record that the log never takes and that holds up the records behind it, as if the log were unavailable.
 */
import { describe, expect, it } from 'vitest';
import { systemClock } from '../packages/common/systemClock';
import { ExclusiveWriter } from '../packages/store/ExclusiveWriter';
import { LogWriter } from '../packages/store/LogWriter';
import { MemoryLog } from './helpers/MemoryLog';

const TOPIC = 'keyed.jobs';
const LARGE = 'x'.repeat(2000);
const DEADLINE_MS = 1000;

const createLog = (): MemoryLog => {
  const log = new MemoryLog(() => 0.5);
  log.maxRecordBytes = 1000;
  return log;
};

describe('a record that the log never takes', () => {
  it('is refused at once by the writer of all boxes, which writes the others of its append', async () => {
    const rejectedKeys: string[] = [];
    const writer = new LogWriter({
      client: createLog(),
      topic: TOPIC,
      clock: systemClock,
      lingerMs: 2,
      maxBatchBytes: 100_000,
      random: () => 0.5,
      handleRejected: ({ key }) => rejectedKeys.push(key),
      probe: { key: 'b/box', value: 'here' },
    });
    const startedAt = systemClock.getNow();
    const outcomes = await Promise.all(
      ['first', LARGE, 'last'].map((value, number) =>
        writer.writeRecord({ key: `j/${number}`, value }, startedAt + DEADLINE_MS),
      ),
    );
    expect(outcomes).toEqual(['written', 'refused', 'written']);
    expect(rejectedKeys).toEqual(['j/1']);
    expect(systemClock.getNow() - startedAt).toBeLessThan(DEADLINE_MS / 2);
    expect(writer.getOutageMs()).toBe(0);
  });

  it('is reported and passed over by the writer of a leader, which writes the others in order', async () => {
    const log = createLog();
    const rejectedKeys: string[] = [];
    const writer = new ExclusiveWriter({
      client: log,
      topic: TOPIC,
      clock: systemClock,
      producer: 'leader',
      epoch: 1,
      lastSequence: 0,
      lingerMs: 2,
      maxBatchBytes: 100_000,
      handleFenced: (detail) => expect.fail(detail),
      handleConfirmed: () => undefined,
      handleRejected: ({ key }) => rejectedKeys.push(key),
      handleConnection: () => undefined,
    });
    const written = Promise.all(
      ['first', LARGE, 'last'].map(
        (value, number) =>
          new Promise<void>((resolve) => writer.queueWrite(`p/${number}`, () => value, resolve)),
      ),
    );
    await written;
    writer.queueWrite('p/3', () => 'later');
    await writer.waitForFlush(DEADLINE_MS);
    expect(rejectedKeys).toEqual(['p/1']);
    expect(log.recordSizes.map(({ key }) => key)).toEqual(['p/0', 'p/2', 'p/3']);
    expect(writer.getOutageMs()).toBe(0);
  });
});
