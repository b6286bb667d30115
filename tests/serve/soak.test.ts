import { describe, expect, it } from 'vitest';
import { startSoak } from '../../dev/soak/startSoak';

const SEED = Number(process.env['STAIRLINE_SOAK_SEED'] ?? 1);
const KEPT_LOGS = process.env['STAIRLINE_SOAK_KEEP'];

describe('a short soak of real processes', () => {
  it('keeps every promise while signals, restarts, changes and faults overlap', async () => {
    const { problems, accepted, starts } = await startSoak({
      seed: SEED,
      boxes: 3,
      executors: 6,
      troubledMs: 15_000,
      ...(KEPT_LOGS === undefined ? {} : { keptLogs: KEPT_LOGS }),
    });
    expect(problems).toEqual([]);
    expect(accepted).toBeGreaterThan(40);
    expect(starts).toBeGreaterThan(100);
  }, 120_000);

  it('keeps every promise while other boxes relay the calls of the leader', async () => {
    const { problems, accepted, starts } = await startSoak({
      seed: SEED,
      boxes: 3,
      executors: 6,
      coresPerBox: 0.02,
      troubledMs: 15_000,
      ...(KEPT_LOGS === undefined ? {} : { keptLogs: `${KEPT_LOGS}-relayed` }),
    });
    expect(problems).toEqual([]);
    expect(accepted).toBeGreaterThan(40);
    expect(starts).toBeGreaterThan(100);
  }, 120_000);
});
