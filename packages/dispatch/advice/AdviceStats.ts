import type { EndpointIncarnation } from '../../jobs/EndpointIncarnation';

/** Share of candidates that are expected to be allowed before the first response. */
const INITIAL_ALLOWED_SHARE = 0.5;
/** Weight of the latest response in the moving average of that share. */
const RESPONSE_WEIGHT = 0.1;
/** Lower bound, since callers divide by the share. */
const MIN_ALLOWED_SHARE = 0.1;

/** Statistics of advice requests over all steps: the allowed share by queue, and the pending requests by endpoint. */
export class AdviceStats {
  private readonly allowedShares = new Map<string, number>();
  private readonly pendingCounts = new Map<EndpointIncarnation, number>();

  /** Returns the share of candidates, 0 to 1, that the service is expected to allow for a step of the queue. */
  getAllowedShare(queue: string): number {
    return this.allowedShares.get(queue) ?? INITIAL_ALLOWED_SHARE;
  }

  /** Returns how many pending requests have the endpoint among their candidates. Their steps may take its free capacity. */
  countPendingRequests(endpoint: EndpointIncarnation): number {
    return this.pendingCounts.get(endpoint) ?? 0;
  }

  recordRequest(candidates: readonly EndpointIncarnation[]): void {
    for (const endpoint of candidates) {
      this.pendingCounts.set(endpoint, this.countPendingRequests(endpoint) + 1);
    }
  }

  /** Records the end of a request, and how many candidates were allowed; undefined when there was no response. */
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
