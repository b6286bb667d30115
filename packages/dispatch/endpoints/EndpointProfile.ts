import type { EndpointId } from '../../jobs/EndpointId';
import type { EndpointIncarnation } from '../../jobs/EndpointIncarnation';
import type { ServiceName } from '../../jobs/ServiceName';
import type { TaskDemand } from '../../jobs/TaskDemand';

/** Contents of an endpoint's record in the log. */
export interface EndpointProfile {
  readonly id: EndpointId;
  /** Incarnation that wrote the record. */
  readonly incarnation: EndpointIncarnation;
  readonly service: ServiceName;
  /** Host and port. */
  readonly address: string;
  readonly hall: string;
  readonly capacity: TaskDemand;
  /** Labels of the machine, such as its kind and rack. */
  readonly labels: readonly string[];
  /** True when the endpoint is about to stop, and takes no new tasks. */
  readonly isDraining: boolean;
  /** Least time until a draining endpoint stops, in milliseconds from its record on. */
  readonly minDrainMs: number;
}
