import type { LoadDigest } from './LoadDigest';

/** A load digest that is fresh enough for decisions. */
export interface KnownLoad {
  readonly digest: LoadDigest;
  /** Age in milliseconds, by the clock that makes it older. */
  readonly ageMs: number;
}
