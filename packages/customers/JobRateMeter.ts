import type { CustomerName } from './CustomerName';
import type { JobCustomer } from './JobCustomer';

interface Bucket {
  /** Number of further jobs that are within the share at `filledAtMs`. */
  tokens: number;
  /** Newest acceptance time of the customer's jobs, in Unix milliseconds. */
  filledAtMs: number;
}

const MS_PER_S = 1000;
/** Minimum capacity of a bucket in jobs, so that customers with a weight below 1 can send single jobs within their share. */
const MIN_BUCKET_CAPACITY = 1;

/**
 * Finds the jobs that are over their customer's share of `weight` jobs per second, with a token bucket per customer that holds the
 * tokens of one second. It uses the times stored with the jobs, so that every leader gets the same result.
 */
export class JobRateMeter {
  private readonly buckets = new Map<CustomerName, Bucket>();

  /**
   * Counts a job that was accepted at a time in Unix milliseconds. Returns true, and takes no token, when it is over the
   * share; false for a customer of weight 0, which has no share.
   */
  recordJob({ name, weight }: JobCustomer, acceptedAtMs: number): boolean {
    if (weight === 0) {
      return false;
    }
    const capacity = Math.max(MIN_BUCKET_CAPACITY, weight);
    const bucket = this.buckets.get(name) ?? { tokens: capacity, filledAtMs: acceptedAtMs };
    // Jobs of several boxes may arrive out of order, which must not fill the bucket twice.
    const elapsedMs = Math.max(0, acceptedAtMs - bucket.filledAtMs);
    const tokens = Math.min(capacity, bucket.tokens + (elapsedMs * weight) / MS_PER_S);
    const isOver = tokens < 1;
    this.buckets.set(name, {
      tokens: isOver ? tokens : tokens - 1,
      filledAtMs: bucket.filledAtMs + elapsedMs,
    });
    return isOver;
  }
}
