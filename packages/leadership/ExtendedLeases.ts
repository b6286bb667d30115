import type { EndpointId } from '../jobs/EndpointId';
import type { EndpointIncarnation } from '../jobs/EndpointIncarnation';
import { endpointIncarnations } from '../jobs/endpointIncarnations';
import type { ExtendedLease } from './ExtendedLease';

/** Time for which an expired lease is kept, so that the end of runs by it is explained. */
const EXPIRED_KEPT_MS = 5000;

/**
 * Extended leases that this process knows of, from the records of leaders, or found by itself as the leader. Of the latter, those that later leaders
 * may not know are pending until a record of this leader has named them.
 */
export class ExtendedLeases {
  /** Monotonic times at which the leases have expired. */
  private readonly endsAt = new Map<EndpointId, number>();
  /** Monotonic time until which endpoints that no record has named may have an extended lease. */
  private unnamedUntil = -Infinity;
  private pending: ReadonlySet<EndpointId> = new Set();
  /** Endpoints that the record formatted last names. */
  private formatted: ReadonlySet<EndpointId> = new Set();

  /** Records a lease that has expired at a monotonic time. Never shortens a known one. */
  recordLease(endpoint: EndpointId, endsAt: number): void {
    this.endsAt.set(endpoint, Math.max(endsAt, this.endsAt.get(endpoint) ?? -Infinity));
  }

  /** Records a lease that this process has found as the leader, and that its next record has to name. */
  recordPendingLease(endpoint: EndpointId, endsAt: number): void {
    this.recordLease(endpoint, endsAt);
    this.pending = new Set([...this.pending, endpoint]);
  }

  /** Records that any endpoint may have an extended lease until a monotonic time, since records may have been missed. */
  recordUnnamedLeases(until: number): void {
    this.unnamedUntil = Math.max(this.unnamedUntil, until);
  }

  /** Sets the monotonic time until which endpoints that no record has named may have an extended lease. */
  setUnnamedUntil(until: number): void {
    this.unnamedUntil = until;
  }

  /** Returns the time until which endpoints that no record has named may have an extended lease, in milliseconds from a monotonic time; 0 without any. */
  computeUnnamedMs(now: number): number {
    return Math.max(0, Math.ceil(this.unnamedUntil - now));
  }

  /**
   * Returns the monotonic time at which an extended lease of an incarnation has expired; -Infinity if it has none. A lease of one incarnation bounds all,
   * as a run of an earlier one may have been transferred.
   */
  getEndsAt(incarnation: EndpointIncarnation): number {
    const endpoint = endpointIncarnations.toEndpointId(incarnation);
    return Math.max(this.unnamedUntil, this.endsAt.get(endpoint) ?? -Infinity);
  }

  /** Returns true while later leaders may not know of an extended lease of the incarnation's endpoint. */
  isPending(incarnation: EndpointIncarnation): boolean {
    return this.pending.size > 0 && this.pending.has(endpointIncarnations.toEndpointId(incarnation));
  }

  /** Lists the leases that have not expired. */
  listActiveLeases(now: number): readonly ExtendedLease[] {
    return [...this.endsAt]
      .filter(([, endsAt]) => endsAt > now)
      .map(([endpoint, endsAt]) => ({ endpoint, remainingMs: Math.ceil(endsAt - now) }));
  }

  /** Removes the leases that expired so long ago that they explain no end of runs any more. */
  removeExpiredLeases(now: number): void {
    for (const [endpoint, endsAt] of this.endsAt) {
      if (endsAt + EXPIRED_KEPT_MS <= now) {
        this.endsAt.delete(endpoint);
      }
    }
  }

  /** Records that a record of this leader is formatted now, with the leases that `listActiveLeases` returns. */
  recordFormatted(): void {
    this.formatted = new Set(this.pending);
  }

  /** Handles the acknowledgement of the newest formatted record: the leases that it names are pending no more. Returns true if it names any that were. */
  handleRecordWritten(): boolean {
    const { formatted } = this;
    this.pending = new Set([...this.pending].filter((endpoint) => !formatted.has(endpoint)));
    this.formatted = new Set();
    return formatted.size > 0;
  }
}
