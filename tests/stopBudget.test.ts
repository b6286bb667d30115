import { beforeEach, describe, expect, it } from 'vitest';
import { systemClock } from '../packages/common/systemClock';
import { StopBudget } from '../packages/serve/StopBudget';

/** Leaves 200 ms for the handover and 800 ms for the log. */
const GRACE_MS = 1700;

describe('StopBudget', () => {
  let lines: { message: string; fields: Record<string, unknown> | undefined }[];
  let budget: StopBudget;

  beforeEach(() => {
    lines = [];
    const recordLine = (message: string, fields?: Record<string, unknown>): number =>
      lines.push({ message, fields });
    const logger = { info: recordLine, warn: recordLine, error: recordLine };
    budget = new StopBudget({ clock: systemClock, logger, graceMs: GRACE_MS });
  });

  it('ends a phase that hangs, logs it, and leaves the later phases their time', async () => {
    await budget.runPhase('handover', () => new Promise(() => undefined));
    expect(budget.getElapsedMs()).toBeLessThan(400);
    expect(lines).toMatchObject([
      { message: 'Phase of the stop ran out of time.', fields: { phase: 'handover', hasEnded: false } },
    ]);
    let logTimeoutMs = 0;
    await budget.runPhase('log', (timeoutMs) => {
      logTimeoutMs = timeoutMs;
      return Promise.resolve();
    });
    expect(logTimeoutMs).toBeGreaterThan(400);
    expect(lines.length).toBe(1);
  });

  it('logs a phase that fails, and goes on', async () => {
    await budget.runPhase('boxes', () => Promise.reject(new Error('the address is gone')));
    expect(lines).toMatchObject([{ message: 'Phase of the stop failed.', fields: { phase: 'boxes' } }]);
  });

  it('gives a phase whose time has passed none, instead of a negative time', async () => {
    const late = new StopBudget({
      clock: systemClock,
      logger: { info: () => undefined, warn: () => undefined, error: () => undefined },
      graceMs: 100,
    });
    let timeoutMs = -1;
    await late.runPhase('callers', (limitMs) => {
      timeoutMs = limitMs;
      return Promise.resolve();
    });
    expect(timeoutMs).toBe(0);
  });
});
