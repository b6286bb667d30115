import type { WorkerId } from '../common/WorkerId';
import type { Demand } from '../table/Demand';

/** One worker in the platform's lagging list of boxes. */
export interface BoxListing {
  readonly worker: WorkerId;
  readonly rack: string;
  /** Host and port of its endpoint. */
  readonly address: string;
  readonly state: 'live' | 'leaving';
  readonly capacity: Demand;
  /** Most connections that the endpoint takes over all entry boxes together. */
  readonly connections: number;
}
