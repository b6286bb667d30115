import type { DispatchEffect } from '../DispatchEffect';
import type { AdviceSlots } from './AdviceSlots';

/** Distributes advice requests over the boxes; each box sends one request at a time. */
export interface AdviceBalancer {
  /** Returns how many requests of any length, and how many long ones, can be sent now. */
  getFreeSlots(): AdviceSlots;
  /** Sends a request over a free channel. Resolves once `handleResponse` has been called; without a call after `stop`. */
  sendRequest(request: Extract<DispatchEffect, { kind: 'advise' }>): Promise<void>;
  /** Discards the responses of pending requests: `handleResponse` is not called for them. */
  stop(): void;
}
