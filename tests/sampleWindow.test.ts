import fc from 'fast-check';
import { expect, it } from 'vitest';
import { computeQuantile } from '../packages/common/computeQuantile';
import { sortAscending } from '../packages/common/sortAscending';
import { SampleWindow } from '../packages/dispatch/speeds/SampleWindow';

const WINDOW = 96;

it('the quantiles of a window are those of its latest values, also once it is full', () => {
  const values = fc.array(fc.oneof(fc.integer({ min: -5, max: 5 }), fc.double({ noNaN: true })), {
    minLength: 1,
    maxLength: 3 * WINDOW,
  });
  fc.assert(
    fc.property(values, fc.double({ min: 0, max: 1, noNaN: true }), (added, share) => {
      const window = new SampleWindow();
      added.forEach((value) => window.addValue(value));
      expect(
        window.computeQuantile(share) === computeQuantile(sortAscending(added.slice(-WINDOW)), share),
      ).toBe(true);
    }),
    { numRuns: 300, seed: 20261205 },
  );
});
