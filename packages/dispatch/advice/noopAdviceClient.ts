import type { AdviceClient } from './AdviceClient';

/** Client for clusters without an advice service: no request has a response. */
export const noopAdviceClient: AdviceClient = {
  requestAdvice: () => Promise.resolve(undefined),
  stop: () => Promise.resolve(),
};
