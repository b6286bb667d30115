import type { LoadDigest } from './LoadDigest';

/** A load digest that is fresh enough for decisions. */
export interface KnownLoad {
  readonly digest: LoadDigest;
  /** Upper bound of its age in milliseconds. */
  readonly ageMs: number;
}
