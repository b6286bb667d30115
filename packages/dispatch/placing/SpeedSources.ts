import type { EndpointSpeeds } from '../speeds/EndpointSpeeds';
import type { RunTimes } from '../speeds/RunTimes';
import type { LabelSlowdowns } from './LabelSlowdowns';
import type { CapacityView } from './CapacityView';

/** Learnt speeds and run times, and the free capacity, from which the speed policies compute costs. */
export interface SpeedSources {
  readonly labelSlowdowns: LabelSlowdowns;
  readonly endpointSpeeds: EndpointSpeeds;
  readonly runTimes: RunTimes;
  readonly capacityView: CapacityView;
}
