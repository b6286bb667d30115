import type { EndpointIncarnation } from '../../jobs/EndpointIncarnation';

/** Allowed share of candidates that is assumed for a queue before its first response. */
const INITIAL_ALLOWED_SHARE = 0.5;
/** Weight of the latest response in the moving average of a queue's allowed share. */
const RESPONSE_WEIGHT = 0.1;
/** Lower bound on the allowed share, since callers divide by it. */
const MIN_ALLOWED_SHARE = 0.1;

/** Statistics of advice requests over all steps: the allowed share of candidates by queue, and the pending requests by endpoint. */
export class AdviceStats {
  /** Moving average of the allowed share of candidates, 0 to 1, by queue. */
  private readonly allowedShares = new Map<string, number>();
  /** Number of pending requests by candidate; endpoints without one have no entry. */
  private readonly pendingCounts = new Map<EndpointIncarnation, number>();

  /** Returns the share of candidates, 0 to 1, that the service is expected to allow for a step of the queue. */
  getAllowedShare(queue: string): number {
    return this.allowedShares.get(queue) ?? INITIAL_ALLOWED_SHARE;
  }

  /** Returns how many pending requests have the endpoint among their candidates. */
  countPendingRequests(endpoint: EndpointIncarnation): number {
    return this.pendingCounts.get(endpoint) ?? 0;
  }

  /** Counts a pending request for each of its candidates. */
  recordRequest(candidates: readonly EndpointIncarnation[]): void {
    for (const endpoint of candidates) {
      this.pendingCounts.set(endpoint, this.countPendingRequests(endpoint) + 1);
    }
  }

  /**
   * Ends the pending request of the candidates, and updates the allowed share of the queue by how many were allowed. `allowedCount` is
   * undefined when there was no response, which leaves the share as it is.
   */
  recordResponse(
    queue: string,
    candidates: readonly EndpointIncarnation[],
    allowedCount: number | undefined,
  ): void {
    for (const endpoint of candidates) {
      const left = this.countPendingRequests(endpoint) - 1;
      if (left > 0) {
        this.pendingCounts.set(endpoint, left);
      } else {
        this.pendingCounts.delete(endpoint);
      }
    }
    if (allowedCount !== undefined && candidates.length > 0) {
      const before = this.getAllowedShare(queue);
      const share = before + RESPONSE_WEIGHT * (allowedCount / candidates.length - before);
      this.allowedShares.set(queue, Math.max(MIN_ALLOWED_SHARE, share));
    }
  }
}
