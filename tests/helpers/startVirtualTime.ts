import { vi } from 'vitest';

const FAKED = ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'setImmediate', 'Date'] as const;

/** Replaces all timers and clocks by the test's, from a fixed time of day on; `vi.useRealTimers` ends it. */
export const startVirtualTime = (): void => {
  vi.useFakeTimers({ toFake: [...FAKED, 'performance'], now: 1_700_000_000_000 });
};
