import type { BoxListing } from '../platform/BoxListing';

/** Worker in the box list of the platform stand-in. */
export interface StandinBox extends BoxListing {
  readonly hall: string;
}
