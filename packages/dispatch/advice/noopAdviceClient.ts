import type { AdviceClient } from './AdviceClient';

/** The advice client where there is no advice service: no question is ever answered. */
export const noopAdviceClient: AdviceClient = {
  requestAdvice: () => Promise.resolve(undefined),
  stop: () => Promise.resolve(),
};
