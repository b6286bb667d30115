import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { ExplorerWorld } from '../dev/explorer/ExplorerWorld';
import { mutations } from '../dev/explorer/mutations';
import { startExploration } from '../dev/explorer/startExploration';
import { standardRules } from '../packages/ownership/standardRules';

/** For each rule made wrong, a seed near which the exploration is known to break it. */
const BREAKING_SEEDS: Readonly<Record<string, number>> = {
  evidenceNeverExpires: 21,
  takeoverWithoutWait: 22,
  takeoverWithoutStatements: 25,
  statementOfOlderView: 25,
  joinerExpels: 26,
  expelWithoutAcknowledgement: 26,
  waiveDeadPromise: 1_002_368,
  expelDespitePromise: 26_310,
};

describe('the model check of ownership', () => {
  it('finds nothing in 200,000 steps of fixed seeds', () => {
    const { counts, failure } = startExploration({
      rules: standardRules,
      firstSeed: 1,
      runs: 200,
      stepsPerRun: 1000,
    });
    expect(failure).toBeUndefined();
    expect(counts.steps).toBe(200_000);
    expect(counts.placed).toBeGreaterThan(500);
    expect(counts.deaths).toBeGreaterThan(100);
    expect(counts.pauses).toBeGreaterThan(200);
  });

  it.each([
    ['a member that owned it only before the owner that died', 1_120_341],
    ['a stopped member whose successor in the same view died', 1_042_950],
  ])('settles no unit by the release of %s', (_whose, firstSeed) => {
    const { failure } = startExploration({ rules: standardRules, firstSeed, runs: 1, stepsPerRun: 1000 });
    expect(failure).toBeUndefined();
  });

  it('finds nothing in steps that fast-check chooses, and would shrink', () => {
    const number = fc.nat({ max: 1_000_000 });
    const steps = fc.array(fc.record({ action: number, left: number, right: number }), {
      minLength: 500,
      maxLength: 700,
      size: 'max',
    });
    const property = fc.property(fc.nat({ max: 1000 }), steps, (seed, chosen) => {
      const world = new ExplorerWorld({ rules: standardRules, seed });
      for (const step of chosen) {
        expect(world.applyStep(step)).toBeUndefined();
      }
    });
    fc.assert(property, { seed: 7, numRuns: 60, endOnFailure: false });
  });

  it.each(Object.entries(BREAKING_SEEDS))('breaks the rules made wrong by %s', (name, seed) => {
    const rules = { ...standardRules, ...mutations[name] };
    const { failure } = startExploration({ rules, firstSeed: seed, runs: 1, stepsPerRun: 1000 });
    expect(failure?.what).toMatch(/two owners|overfilled|replica twice/);
  });
});
