import { defineConfig } from 'vitest/config';

/** The longest tests that start no process, open no socket and measure no time. They run beside each other. */
const SIMULATIONS = [
  'adviceTurns',
  'crashes',
  'dispatch',
  'endpointSpeeds',
  'heldShares',
  'incarnations',
  'slotStarvation',
  'stops',
].map((name) => `tests/${name}.test.ts`);

export default defineConfig({
  test: {
    testTimeout: 60_000,
    hookTimeout: 60_000,
    reporters: ['default', './tests/helpers/CountReporter.ts'],
    poolOptions: { threads: { minThreads: 1, maxThreads: 4 }, forks: { minForks: 1, maxForks: 1 } },
    projects: [
      {
        extends: true,
        test: { name: 'simulations', include: SIMULATIONS, pool: 'threads', sequence: { groupOrder: 0 } },
      },
      {
        // One file at a time, as these tests measure times.
        extends: true,
        test: {
          name: 'processes',
          include: ['tests/**/*.test.ts'],
          exclude: SIMULATIONS,
          pool: 'forks',
          sequence: { groupOrder: 1 },
          globalSetup: ['tests/helpers/bundleOnce.ts'],
        },
      },
    ],
  },
});
