import type { EndpointSpeeds } from '../speeds/EndpointSpeeds';
import type { RunTimes } from '../speeds/RunTimes';
import type { KindSpeeds } from './KindSpeeds';
import type { CapacityView } from './CapacityView';

/** Inputs of the speed policies. */
export interface SpeedSources {
  readonly kindSpeeds: KindSpeeds;
  readonly endpointSpeeds: EndpointSpeeds;
  readonly runTimes: RunTimes;
  readonly capacity: CapacityView;
}
