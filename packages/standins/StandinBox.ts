import type { BoxListing } from '../platform/BoxListing';

/** A worker as the platform stand-in lists it. */
export interface StandinBox extends BoxListing {
  readonly hall: string;
}
