import type { LoadDigest } from './LoadDigest';

/** A digest that a box may go by. */
export interface KnownLoad {
  readonly digest: LoadDigest;
  /** Milliseconds since it was made, as far as this box can tell; never too few. */
  readonly ageMs: number;
}
