import { describe, expect, it } from 'vitest';
import { systemClock } from '../packages/common/systemClock';
import type { LogClient } from '../packages/store/LogClient';
import { LogWriter } from '../packages/store/LogWriter';

type AppendRequest = Parameters<LogClient['append']>[0];

const DEADLINE_MS = 500;
const PROBE = { key: 'b/box', value: 'here' };

describe('writes to a log that does not respond', () => {
  it('are refused, not unknown, when they were never sent', async () => {
    const sentKeys = new Set<string>();
    const client: LogClient = {
      append: async ({ writes, timeoutMs }: AppendRequest) => {
        writes.forEach(({ key }) => sentKeys.add(key));
        await new Promise((resolve) => setTimeout(resolve, timeoutMs));
        return { ok: false, error: { kind: 'unknown', detail: 'no answer' } };
      },
      readRecords: () => Promise.reject(new Error('not used')),
      readPageOfNewestByKey: () => Promise.reject(new Error('not used')),
      stop: () => Promise.resolve(),
    };
    const writer = new LogWriter({
      client,
      topic: 'keyed.jobs',
      clock: systemClock,
      lingerMs: 2,
      maxBatchBytes: 1000,
      random: () => 0.5,
      handleRejected: () => undefined,
      probe: PROBE,
    });
    const now = systemClock.getNow();
    const first = writer.writeRecord({ key: 'j/1', value: 'job' }, now + DEADLINE_MS);
    await new Promise((resolve) => setTimeout(resolve, 100));
    const second = writer.writeRecord({ key: 'j/2', value: 'job' }, now + 2 * DEADLINE_MS);
    expect(await first).toBe('unknown');
    expect(await second).toBe('refused');
    expect(sentKeys.has('j/2')).toBe(false);
  });
});
