import type { EndpointIncarnation } from '../jobs/EndpointIncarnation';
import type { ExtendedLease } from './ExtendedLease';

/**
 * Extended leases that this process knows of, from the records of leaders, or found by itself as the leader. Of the latter, those that later leaders
 * may not know are pending until a record of this leader has named them.
 */
export class ExtendedLeases {
  /** Monotonic times at which the leases have expired. */
  private readonly endsAt = new Map<EndpointIncarnation, number>();
  /** Monotonic time until which incarnations that no record has named may have an extended lease. */
  private unnamedUntil = -Infinity;
  private pending: ReadonlySet<EndpointIncarnation> = new Set();
  /** Incarnations that the record formatted last names. */
  private formatted: ReadonlySet<EndpointIncarnation> = new Set();

  /** Records a lease that has expired at a monotonic time. Never shortens a known one. */
  recordLease(incarnation: EndpointIncarnation, endsAt: number): void {
    this.endsAt.set(incarnation, Math.max(endsAt, this.endsAt.get(incarnation) ?? -Infinity));
  }

  /** Records a lease that this process has found as the leader, and that its next record has to name. */
  recordPendingLease(incarnation: EndpointIncarnation, endsAt: number): void {
    this.recordLease(incarnation, endsAt);
    this.pending = new Set([...this.pending, incarnation]);
  }

  /** Records that any incarnation may have an extended lease until a monotonic time, since records may have been missed. */
  recordUnnamedLeases(until: number): void {
    this.unnamedUntil = Math.max(this.unnamedUntil, until);
  }

  /** Records that a record has named all leases that were not known. */
  recordAllNamed(): void {
    this.unnamedUntil = -Infinity;
  }

  /** Returns the monotonic time at which an extended lease of an incarnation has expired; -Infinity if it has none. */
  getEndsAt(incarnation: EndpointIncarnation): number {
    return Math.max(this.unnamedUntil, this.endsAt.get(incarnation) ?? -Infinity);
  }

  /** Returns true while no later leader may know of an extended lease of the incarnation. */
  isPending(incarnation: EndpointIncarnation): boolean {
    return this.pending.has(incarnation);
  }

  /** Lists the leases that have not expired, and forgets the others; undefined while there may be ones that no record has named. */
  listLeases(now: number): readonly ExtendedLease[] | undefined {
    for (const [incarnation, endsAt] of this.endsAt) {
      if (endsAt <= now) {
        this.endsAt.delete(incarnation);
      }
    }
    return this.unnamedUntil > now
      ? undefined
      : [...this.endsAt].map(([incarnation, endsAt]) => ({
          incarnation,
          remainingMs: Math.ceil(endsAt - now),
        }));
  }

  /** Records that a record of this leader is formatted now, with the leases that `listLeases` returns. */
  recordFormatted(): void {
    this.formatted = new Set(this.pending);
  }

  /** Records that the record formatted last is durable. Returns true if leases are no longer pending. */
  handleRecordWritten(): boolean {
    const { formatted } = this;
    this.pending = new Set([...this.pending].filter((incarnation) => !formatted.has(incarnation)));
    this.formatted = new Set();
    return formatted.size > 0;
  }
}
