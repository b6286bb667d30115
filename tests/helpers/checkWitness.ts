import { expect } from 'vitest';
import { checkOverfill } from '../../dev/demo/checkOverfill';
import type { CallResult } from '../../dev/fleet/CallResult';
import type { Fleet } from '../../dev/fleet/Fleet';

/** Asks the endpoints: nothing was overfilled, and nothing that callers were told was not run had been started. */
export const checkWitness = async (fleet: Fleet, results: readonly CallResult[]): Promise<void> => {
  const records = await fleet.readRecords();
  expect(records.filter(checkOverfill)).toEqual([]);
  const started = new Set(
    records.flatMap((record) => Object.keys(record.starts).map((key) => key.split(' ')[1])),
  );
  const wronglyRun = results.filter((result) => result.outcome === 'not-run' && started.has(result.request));
  expect(wronglyRun).toEqual([]);
};
