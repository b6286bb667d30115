import { beforeEach, describe, expect, it } from 'vitest';
import { StepFilteredClock } from '../packages/common/StepFilteredClock';

const STARTED_AT = 1_000_000;

describe('the clock of a box whose time of day jumps', () => {
  let now: number;
  let jumpMs: number;
  let moves: number[];
  let clock: StepFilteredClock;

  beforeEach(() => {
    [now, jumpMs, moves] = [50, 0, []];
    const source = { readNow: () => now, readWall: () => STARTED_AT + now + jumpMs };
    clock = new StepFilteredClock({ source, handleStep: (byMs) => moves.push(byMs) });
  });

  /** Reads the clock every 100 ms; gives the differences from the time without a jump. */
  const readDifferences = (forMs: number): ReadonlySet<number> => {
    const differences = new Set<number>();
    for (const until = now + forMs; now < until; now += 100) {
      differences.add(clock.readWall() - STARTED_AT - now);
    }
    return differences;
  };

  it.each([3230, -2400])('goes on through a jump of %i ms that is taken back after 7 s', (byMs) => {
    expect([...readDifferences(1000)]).toEqual([0]);
    jumpMs = byMs;
    expect([...readDifferences(6900)]).toEqual([0]);
    jumpMs = 0;
    expect([...readDifferences(30_000)]).toEqual([0]);
    expect(moves).toEqual([]);
  });

  it('follows a jump that lasts, once, and says so', () => {
    jumpMs = 3000;
    expect(readDifferences(14_000)).toEqual(new Set([0]));
    expect(readDifferences(2000)).toEqual(new Set([0, 3000]));
    expect(readDifferences(30_000)).toEqual(new Set([3000]));
    expect(moves).toEqual([3000]);
  });

  it('follows small differences at once, and counts each jump by itself', () => {
    jumpMs = 150;
    expect(readDifferences(1000)).toEqual(new Set([150]));
    for (const byMs of [2000, 150, -2000, 150]) {
      jumpMs = byMs;
      expect(readDifferences(8000)).toEqual(new Set([150]));
    }
    expect(moves).toEqual([]);
  });
});
