import type { EndpointId } from '../../jobs/EndpointId';
import type { EndpointIncarnation } from '../../jobs/EndpointIncarnation';
import type { ServiceName } from '../../jobs/ServiceName';
import type { TaskDemand } from '../../jobs/TaskDemand';

/** What an endpoint's record says of it. */
export interface EndpointProfile {
  readonly id: EndpointId;
  /** The life that wrote the record. */
  readonly incarnation: EndpointIncarnation;
  readonly service: ServiceName;
  /** Host and port. */
  readonly address: string;
  readonly hall: string;
  readonly capacity: TaskDemand;
  /** Kind and rack. */
  readonly labels: readonly string[];
  readonly isDraining: boolean;
  /** While it drains: the least time that remains, in milliseconds from the record on. */
  readonly remainingMs: number;
}
