import type { AdviceClient } from './AdviceClient';

/** The advice client where there is no advice service: no question is ever answered. */
export const noAdvice: AdviceClient = {
  sendQuestion: () => Promise.resolve(undefined),
  stop: () => Promise.resolve(),
};
