import { beforeEach, describe, expect, it } from 'vitest';
import { StepFilteredClock } from '../packages/common/StepFilteredClock';

const STARTED_AT = 1_000_000;

describe('StepFilteredClock', () => {
  let now: number;
  let stepMs: number;
  let steps: number[];
  let clock: StepFilteredClock;

  beforeEach(() => {
    [now, stepMs, steps] = [50, 0, []];
    const source = { getNow: () => now, getWallTime: () => STARTED_AT + now + stepMs };
    clock = new StepFilteredClock({ source, handleStep: (byMs) => steps.push(byMs) });
  });

  /** Reads the clock every 100 ms. Returns the differences between its wall time and the wall time without steps. */
  const listOffsets = (durationMs: number): ReadonlySet<number> => {
    const offsets = new Set<number>();
    for (const until = now + durationMs; now < until; now += 100) {
      offsets.add(clock.getWallTime() - STARTED_AT - now);
    }
    return offsets;
  };

  it.each([3230, -2400])('ignores a step of %i ms that is reverted after 7 s', (byMs) => {
    expect([...listOffsets(1000)]).toEqual([0]);
    stepMs = byMs;
    expect([...listOffsets(6900)]).toEqual([0]);
    stepMs = 0;
    expect([...listOffsets(30_000)]).toEqual([0]);
    expect(steps).toEqual([]);
  });

  it('applies and reports a step that persists, once', () => {
    stepMs = 3000;
    expect(listOffsets(14_000)).toEqual(new Set([0]));
    expect(listOffsets(2000)).toEqual(new Set([0, 3000]));
    expect(listOffsets(30_000)).toEqual(new Set([3000]));
    expect(steps).toEqual([3000]);
  });

  it('applies small differences at once, and times each step separately', () => {
    stepMs = 150;
    expect(listOffsets(1000)).toEqual(new Set([150]));
    for (const byMs of [2000, 150, -2000, 150]) {
      stepMs = byMs;
      expect(listOffsets(8000)).toEqual(new Set([150]));
    }
    expect(steps).toEqual([]);
  });
});
