import type { CustomerName } from './CustomerName';
import type { JobCustomer } from './JobCustomer';

interface Allowance {
  /** Jobs that are owed now, up to the customer's weight. */
  jobs: number;
  /** Wall clock time of the newest job counted. */
  at: number;
}

const MS_PER_S = 1000;
/** A customer with a smaller weight is owed single jobs all the same, each after a longer time. */
const MIN_BURST = 1;

/**
 * Tells which jobs are beyond their customer's share of `weight` jobs a second, by an allowance that fills at that rate and holds one
 * second's worth. It counts from the times kept with the jobs, so that every leader that takes the same jobs in comes to the same.
 */
export class JobRateMeter {
  private readonly allowances = new Map<CustomerName, Allowance>();

  /** Counts a job that was accepted at a wall clock time, in milliseconds; true when it is beyond the share. */
  recordJob({ name, weight }: JobCustomer, acceptedAtMs: number): boolean {
    if (weight === 0) {
      return false;
    }
    const most = Math.max(MIN_BURST, weight);
    const known = this.allowances.get(name) ?? { jobs: most, at: acceptedAtMs };
    // Jobs of several boxes may come out of order by some milliseconds, which must not fill the allowance twice.
    const passedMs = Math.max(0, acceptedAtMs - known.at);
    const jobs = Math.min(most, known.jobs + (passedMs * weight) / MS_PER_S);
    const isBeyond = jobs < 1;
    this.allowances.set(name, { jobs: isBeyond ? jobs : jobs - 1, at: known.at + passedMs });
    return isBeyond;
  }
}
