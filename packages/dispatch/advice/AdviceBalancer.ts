import type { DispatchEffect } from '../DispatchEffect';
import type { AdviceSlots } from './AdviceSlots';

/** Distributes advice requests over the boxes, since the service handles the requests of one box sequentially. */
export interface AdviceBalancer {
  /** Returns how many requests can be sent now. */
  getFreeSlots(): AdviceSlots;
  /** Sends a request over a free channel. Resolves once its response has been handled, or the lack of one. */
  sendRequest(request: Extract<DispatchEffect, { kind: 'advise' }>): Promise<void>;
  stop(): void;
}
