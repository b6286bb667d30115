import type { Clock } from '../common/Clock';

interface LeaderVoucherOptions {
  readonly clock: Clock;
  /** Returns the newest epoch of a leader that this process knows; undefined while it knows none. */
  readonly getNewestEpoch: () => number | undefined;
}

/**
 * Vouches for the newest leader that this process knows. A leader that cannot write to the log may renew leases on that word, so a later leader needs to
 * know when this process last gave it.
 */
export class LeaderVoucher {
  /** Monotonic time at which this process last vouched for a leader; -Infinity before the first time. */
  private vouchedAt = -Infinity;

  constructor(private readonly options: LeaderVoucherOptions) {}

  /** Returns whether this process vouches for the leader of an epoch now, and records it if so. */
  handleVouchRequest(epoch: number): boolean {
    const isNewest = this.options.getNewestEpoch() === epoch;
    if (isNewest) {
      this.vouchedAt = this.options.clock.getNow();
    }
    return isNewest;
  }

  /** Returns the monotonic time at which this process last vouched for a leader; -Infinity if it never has. */
  getVouchedAt(): number {
    return this.vouchedAt;
  }

  /** Returns the milliseconds since this process last vouched for a leader; undefined if it never has. */
  getVouchAgeMs(): number | undefined {
    return this.vouchedAt === -Infinity ? undefined : this.options.clock.getNow() - this.vouchedAt;
  }
}
