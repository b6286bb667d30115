/** Times that the safety of ownership rests on, in milliseconds by the monotonic clock. */
export interface OwnershipTimings {
  /** How long evidence that the view stands lets a member place. */
  readonly leaseMs: number;
  /** Added wherever another clock is waited out: covers drift and a request under way. */
  readonly marginMs: number;
  /** A member unheard for this long may be left out, once its promise has run out. */
  readonly suspectMs: number;
  /** The longest time limit of any task; after it, nothing of an ended owner runs on a worker. */
  readonly longestTaskMs: number;
  /** The lease of a standing replica; after it, a replica that nobody renews has ended. */
  readonly seatLeaseMs: number;
}
