import type { ExtendedLease } from './ExtendedLease';
import type { LeaseWitness } from './LeaseWitness';

/** Record of the leader in the log. The one with the highest epoch is valid. */
export interface LeaderRecord {
  /** Epoch of the leader; also the fencing token of each of its commands to endpoints. */
  readonly epoch: number;
  readonly box: string;
  /** Address of the leader's box for other boxes. Not given by earlier versions. */
  readonly address?: string | undefined;
  /** Id of the leader's process, unique for each process of a box. */
  readonly process: string;
  /** True once the leader has stopped gracefully and sends no more commands. */
  readonly isResigned: boolean;
  /** In the record of a leader that has stopped gracefully, the address of the box that is asked to lead next, if one was found. */
  readonly successor?: string | undefined;
  /**
   * Milliseconds from the writing of this record until the leases of all leaders before this one have expired, except for `previous`. Not
   * given by earlier versions.
   */
  readonly earlierLeasesMs?: number | undefined;
  /**
   * Processes that can vouch for this leader. If given, the leader renews leases only on the word of one of them once `briefGraceMs` have passed since
   * its last acknowledged write. Not given by earlier versions, or while no other box vouches for the leader.
   */
  readonly witnesses?: readonly LeaseWitness[] | undefined;
  /**
   * Extended leases of endpoints when the record was written. A claim lacks those that the leader before it finds until the claim is written. Not given
   * by earlier versions.
   */
  readonly extendedLeases?: readonly ExtendedLease[] | undefined;
  /** Milliseconds from the writing of this record in which any other endpoint may have an extended lease, as the leader may not know all; 0 if not given. */
  readonly unnamedLeasesMs?: number | undefined;
  /** In a claim, the leader of the epoch before it, which may act until the claim is written. */
  readonly previous?: Pick<LeaderRecord, 'box' | 'address' | 'process'> | undefined;
}
