import type { LoadDigest } from './LoadDigest';

/** A load digest that is fresh enough for decisions. */
export interface KnownLoad {
  readonly digest: LoadDigest;
  /** Age of the digest in milliseconds: since its receipt or its creation, whichever is longer. */
  readonly ageMs: number;
}
